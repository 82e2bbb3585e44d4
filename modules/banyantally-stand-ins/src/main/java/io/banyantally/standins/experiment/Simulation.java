package io.banyantally.standins.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One run: a trace, a policy, and the engines, on a manual clock. */
final class Simulation {
    private static final long TICK = 5_000_000L;

    /** Requests that came late in the trace have this long to end. */
    private static final long DRAIN = 40 * TraceGenerator.SECOND;

    private final Trace trace;
    private final SimulatedClock clock = new SimulatedClock();
    private final SimulatedFleet fleet;
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
    private long scheduledSoFar;
    private long lastJob;

    Simulation(Trace trace) {
        this.trace = trace;
        this.fleet = new SimulatedFleet(trace);
    }

    private record Scheduled(long at, long order, Runnable action) {}

    /** Serves the trace with a policy. */
    RunResult run(PolicyKind kind) {
        fleet.advance(0);
        ServingPolicy policy = kind.create(this);
        List<RequestRun> runs = new ArrayList<>(trace.requests().size());
        int next = 0;
        double cost = 0;
        for (long now = TICK; now <= trace.length() + DRAIN; now += TICK) {
            clock.moveTo(now);
            fleet.advance(now);
            while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
                scheduled.poll().action().run();
            }
            for (; next < trace.requests().size() && trace.requests().get(next).arrival() <= now; next++) {
                RequestRun run = new RequestRun(trace.requests().get(next));
                runs.add(run);
                policy.arrive(run);
            }
            policy.tick(now);
            if (now <= trace.length()) {
                cost = fleet.cost(now);
            }
        }
        return RunResult.of(trace, kind, runs, policy.roleChanges(), cost);
    }

    Trace trace() {
        return trace;
    }

    SimulatedClock clock() {
        return clock;
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    long now() {
        return clock.nanoTime();
    }

    void after(long nanos, Runnable action) {
        scheduled.add(new Scheduled(now() + nanos, scheduledSoFar++, action));
    }

    /** Returns a number that no other job of this run has. */
    long newJob() {
        return ++lastJob;
    }
}
