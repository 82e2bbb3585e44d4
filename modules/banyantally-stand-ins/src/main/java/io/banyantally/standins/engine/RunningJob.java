package io.banyantally.standins.engine;

/** A job inside the engine. */
final class RunningJob {
    final EngineJob job;
    final long arrival;
    int reservedBlocks;
    int pinnedBlocks;
    int remainingPrompt;
    int cachedTokens;
    boolean admitted;
    boolean cancelled;
    long finishStep;
    long firstStep;

    RunningJob(EngineJob job, long arrival) {
        this.job = job;
        this.arrival = arrival;
        this.reservedBlocks = EngineCosts.blocksOf(job.promptTokens() + job.outputTokens());
        this.remainingPrompt = job.promptTokens();
    }

    long arrival() {
        return arrival;
    }

    int priority() {
        return job.priority();
    }

    long finishStep() {
        return finishStep;
    }
}
