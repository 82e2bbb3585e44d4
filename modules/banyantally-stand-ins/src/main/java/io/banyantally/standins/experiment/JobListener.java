package io.banyantally.standins.experiment;

/** Hears what becomes of a job in a simulated engine. */
interface JobListener {
    /** The first token was generated. */
    void firstToken(long nanoTime);

    /** The job has ended in full. */
    void finished(long nanoTime);

    /** The engine is gone, with the job, after it had generated so many tokens. */
    void lost(long nanoTime, int generatedTokens);
}
