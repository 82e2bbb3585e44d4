package io.banyantally.standins.experiment;

/** A way to serve a trace. */
interface ServingPolicy {
    /** Takes a request that has just arrived. */
    void arrive(RequestRun run);

    /** Does periodic work; called every few milliseconds of simulated time. */
    void tick(long now);

    /** Returns how many role changes were ordered. */
    int roleChanges();
}
