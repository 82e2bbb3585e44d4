package io.banyantally.standins.engine;

/**
 * A generation request and its result, as listed in a report.
 *
 * @param answerSeedText the first token of the expected text, which identifies the prompt in a report
 * @param tokens the number of tokens sent
 * @param outcome how it ended
 */
public record GenerationRecord(
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
        /** The last chunk was sent. */
        FINISHED,
        /** The caller cancelled it or closed its connection. */
        CANCELLED,
        /** It was refused as not run. */
        REFUSED,
        /** The resumed text is not what this engine would have generated. */
        RESUMED_WITH_OTHER_TEXT
    }
}
