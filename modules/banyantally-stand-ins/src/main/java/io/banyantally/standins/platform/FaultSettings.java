package io.banyantally.standins.platform;

/**
 * The faults of one interface, as posted to {@code /control/faults/<interface>}.
 *
 * @param down closes the connection of every call before it has an effect
 * @param delayMillis how long a call waits before it has its effect
 * @param answerDelayMillis how long a call waits between its effect and its answer
 * @param loseAnswer the probability that the connection closes after the effect without an answer
 * @param seed the seed of the random draws
 */
public record FaultSettings(boolean down, long delayMillis, long answerDelayMillis, double loseAnswer, long seed) {

    /** No faults. */
    public static final FaultSettings NONE = new FaultSettings(false, 0, 0, 0, 0);
}
