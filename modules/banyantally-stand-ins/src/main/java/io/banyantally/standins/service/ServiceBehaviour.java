package io.banyantally.standins.service;

/**
 * How calls are answered, as posted to {@code /control/behaviour}.
 *
 * @param delayMillis how long each call takes before its execution
 * @param calls how many calls the mode holds for; negative for all
 */
public record ServiceBehaviour(Mode mode, long delayMillis, long calls) {

    /** Executes and answers. */
    public static final ServiceBehaviour NORMAL = new ServiceBehaviour(Mode.ANSWER, 0, -1);

    /** What happens to a call. */
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
