package io.banyantally.standins.engine;

/** State of a waiting or running job. */
final class RunningJob {
    final EngineJob job;
    final long arrivalNumber;
    int reservedBlocks;
    int pinnedBlocks;
    int remainingPrompt;
    int cachedTokens;
    boolean admitted;
    boolean cancelled;
    long finishStep;
    long firstStep;

    RunningJob(EngineJob job, long arrivalNumber) {
        this.job = job;
        this.arrivalNumber = arrivalNumber;
        this.reservedBlocks = EngineCosts.blocksOf(job.promptTokens() + job.outputTokens());
        this.remainingPrompt = job.promptTokens();
    }

    long arrivalNumber() {
        return arrivalNumber;
    }

    int priority() {
        return job.priority();
    }

    long finishStep() {
        return finishStep;
    }
}
