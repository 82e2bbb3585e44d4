package io.banyantally.standins.experiment;

/** Receives the events of a job in a simulated engine. */
interface JobListener {
    /** The first token was generated. */
    void firstToken(long nanoTime);

    /** All tokens of the job were generated. */
    void finished(long nanoTime);

    /** The engine and the job are lost, after the job had generated {@code generatedTokens} tokens on it. */
    void lost(long nanoTime, int generatedTokens);
}
