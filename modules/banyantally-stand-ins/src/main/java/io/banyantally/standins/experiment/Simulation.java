package io.banyantally.standins.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One run of a policy on a trace, with simulated engines and a simulated clock. */
final class Simulation {
    private static final long TICK_NANOS = 5_000_000L;

    /** Simulated time after the end of the trace, in which late requests can finish. */
    private static final long DRAIN_NANOS = 40 * TraceGenerator.NANOS_PER_SECOND;

    private final Trace trace;
    private final SimulatedClock clock = new SimulatedClock();
    private final SimulatedFleet fleet;
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
    private long scheduledCount;
    private long lastJobId;

    Simulation(Trace trace) {
        this.trace = trace;
        this.fleet = new SimulatedFleet(trace);
    }

    private record Scheduled(long at, long order, Runnable action) {}

    /** Serves the trace with a policy and returns the measurements. */
    RunResult run(PolicyKind kind) {
        fleet.advance(0);
        ServingPolicy policy = kind.create(this);
        List<RequestRun> runs = new ArrayList<>(trace.requests().size());
        int next = 0;
        double cost = 0;
        for (long now = TICK_NANOS; now <= trace.lengthNanos() + DRAIN_NANOS; now += TICK_NANOS) {
            clock.moveTo(now);
            fleet.advance(now);
            while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
                scheduled.poll().action().run();
            }
            for (; next < trace.requests().size() && trace.requests().get(next).arrivalNanos() <= now; next++) {
                RequestRun run = new RequestRun(trace.requests().get(next));
                runs.add(run);
                policy.arrive(run);
            }
            policy.tick(now);
            if (now <= trace.lengthNanos()) {
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

    void runAfter(long nanos, Runnable action) {
        scheduled.add(new Scheduled(now() + nanos, scheduledCount++, action));
    }

    /** Returns a job id that is unique in this run. */
    long newJobId() {
        return ++lastJobId;
    }
}
