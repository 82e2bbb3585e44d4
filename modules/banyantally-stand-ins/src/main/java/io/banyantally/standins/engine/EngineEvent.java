package io.banyantally.standins.engine;

/**
 * Something that happened to a job.
 *
 * @param nanoTime when it happened, on the clock that drives the model
 * @param index the index of the token; for {@link Kind#FINISHED} the number of the next token that would follow
 * @param cachedTokens prompt tokens that the prefix cache held when the job's prefill began
 */
public record EngineEvent(Kind kind, long nanoTime, long jobId, int index, int cachedTokens) {
    /** What happened. */
    public enum Kind {
        /** The first output token of this job. */
        FIRST_TOKEN,
        /** A later output token. Sent only if the model was asked to. */
        TOKEN,
        /** The job has ended in full. */
        FINISHED
    }
}
