package io.banyantally.standins.service;

/**
 * How the service stand-in answers calls, as posted to {@code /control/behaviour}.
 *
 * @param delayMillis the delay of each call before its execution
 * @param calls the number of calls that the mode applies to; negative for all
 */
public record ServiceBehaviour(Mode mode, long delayMillis, long calls) {

    /** Executes and answers. */
    public static final ServiceBehaviour NORMAL = new ServiceBehaviour(Mode.ANSWER, 0, -1);

    /** The ways to answer a call. */
    public enum Mode {
        /** Executes and answers. */
        ANSWER,
        /** Answers 503 without executing. */
        FAIL_BEFORE,
        /** Executes and answers 500. */
        FAIL_AFTER,
        /** Closes the connection without executing. */
        CLOSE_BEFORE,
        /** Executes and closes the connection without an answer. */
        CLOSE_AFTER,
        /** Executes and answers with the exchange id of another call. */
        CROSS_ANSWER
    }
}
