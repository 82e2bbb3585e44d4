package io.banyantally.standins.engine;

/**
 * A generation as the engine ran it.
 *
 * @param answerSeedText the first token that the prompt yields, which names the prompt in a report
 * @param tokens the tokens sent
 * @param outcome how it ended
 */
public record RanGeneration(
        String exchange,
        String model,
        String answerSeedText,
        int priority,
        int promptTokens,
        int cachedTokens,
        int firstIndex,
        int tokens,
        Outcome outcome) {

    /** How a generation ended. */
    public enum Outcome {
        /** The end mark was sent. */
        FINISHED,
        /** The caller cancelled it or closed its connection. */
        CANCELLED,
        /** It was refused as not run. */
        REFUSED,
        /** The resumed text is not what this engine would have generated. */
        RESUMED_WITH_OTHER_TEXT
    }
}
