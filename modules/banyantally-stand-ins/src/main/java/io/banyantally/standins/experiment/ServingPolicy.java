package io.banyantally.standins.experiment;

/** A policy that admits and routes the requests of a trace. */
interface ServingPolicy {
    /** Admits or refuses a request at its arrival. */
    void arrive(RequestRun run);

    /** Does periodic work; called every few milliseconds of simulated time. */
    void tick(long now);

    /** Returns the number of role changes ordered so far. */
    int roleChanges();
}
