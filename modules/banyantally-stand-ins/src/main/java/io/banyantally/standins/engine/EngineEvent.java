package io.banyantally.standins.engine;

/**
 * Progress of a job: a generated token or its end.
 *
 * @param nanoTime when it happened, on the clock that drives the model
 * @param index the index of the token; for {@link Kind#FINISHED} the index that follows the last token
 * @param cachedTokens prompt tokens that the prefix cache held when the job's prefill began
 */
public record EngineEvent(Kind kind, long nanoTime, long jobId, int index, int cachedTokens) {
    /** The kinds of progress. */
    public enum Kind {
        /** The first output token of this job. */
        FIRST_TOKEN,
        /** A later output token. Sent only by a model that was created to send every token. */
        TOKEN,
        /** All tokens of the job were generated. */
        FINISHED
    }
}
