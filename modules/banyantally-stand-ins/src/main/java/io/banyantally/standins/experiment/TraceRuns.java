package io.banyantally.standins.experiment;

import io.banyantally.standins.engine.EngineCosts;

/** Generates traces and runs policies on them. Each run has its own engines, VMs and clock. */
final class TraceRuns {
    private TraceRuns() {}

    static Trace trace(Site site, double load, long seed) {
        return new TraceGenerator(site, seed, load, EngineCosts.DEFAULT).generate();
    }

    static RunResult run(Trace trace, PolicyKind policy) {
        return new Simulation(trace).run(policy);
    }
}
