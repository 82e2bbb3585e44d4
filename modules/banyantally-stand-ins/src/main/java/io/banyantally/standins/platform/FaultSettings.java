package io.banyantally.standins.platform;

/**
 * The faults of one interface, as posted to {@code /control/faults/<interface>}.
 *
 * @param down whether the connection of every call is closed before the call has an effect
 * @param delayMillis the delay of a call before its effect
 * @param answerDelayMillis the delay of a call between its effect and its answer
 * @param loseAnswer the probability that the connection closes after the effect without an answer
 * @param seed the seed of the random draws
 */
public record FaultSettings(boolean down, long delayMillis, long answerDelayMillis, double loseAnswer, long seed) {

    /** No faults. */
    public static final FaultSettings NONE = new FaultSettings(false, 0, 0, 0, 0);
}
