package io.banyantally.standins.experiment;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.List;

/** The engines of a run: who runs, who leaves, what the platform's list shows, and what it all costs. */
final class SimulatedFleet {
    static final double REGULAR_PRICE = 1.0;
    static final double CHEAP_PRICE = 0.4;
    static final long START_NANOS = 60 * TraceGenerator.SECOND;
    static final long NOTICE_NANOS = 4 * TraceGenerator.SECOND;

    /** How long the reclaimed zone has no cheap upstream to order. */
    static final long SHORTAGE_NANOS = 90 * TraceGenerator.SECOND;

    private static final long LIST_INTERVAL = TraceGenerator.SECOND / 2;
    private static final double NANOS_PER_HOUR = 3_600e9;

    private final Trace trace;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<SimulatedEngine> draining = new ArrayList<>();
    private List<KnownUpstream> listed = List.of();
    private long listedAt = Long.MIN_VALUE / 2;
    private boolean reclaimDone;
    private int ordered;

    SimulatedFleet(Trace trace) {
        this.trace = trace;
        List<AvailabilityZone> zones = trace.site().zones();
        for (int engine = 0; engine < Site.ENGINES; engine++) {
            AvailabilityZone zone = zones.get(engine / 2);
            add(zone, zone.equals(trace.reclaimedZone()), 0);
        }
    }

    private SimulatedEngine add(AvailabilityZone zone, boolean cheap, long runsFrom) {
        SimulatedEngine engine = new SimulatedEngine(
                "engine-" + ordered++, trace.site().service(), zone, cheap, EngineRole.MIXED, runsFrom);
        engines.add(engine);
        return engine;
    }

    /** Orders an upstream; returns false when the zone has no cheap one. */
    boolean order(AvailabilityZone zone, boolean cheap, long now) {
        boolean shortage = cheap
                && zone.equals(trace.reclaimedZone())
                && now >= trace.reclaimAt()
                && now < trace.reclaimAt() + SHORTAGE_NANOS;
        if (!shortage) {
            add(zone, cheap, now + START_NANOS);
        }
        return !shortage;
    }

    /** Orders a replacement like for like. */
    void replace(SimulatedEngine gone, long now) {
        SimulatedEngine engine = add(gone.zone(), gone.cheap(), now + START_NANOS);
        engine.model().startInRole(gone.model().role());
    }

    void advance(long now) {
        if (!reclaimDone && now >= trace.reclaimAt()) {
            reclaimDone = true;
            engines.stream()
                    .filter(engine -> engine.cheap() && engine.zone().equals(trace.reclaimedZone()) && engine.runs(now))
                    .forEach(engine -> engine.leave(now, now + NOTICE_NANOS, true));
        }
        engines.forEach(engine -> engine.advance(now));
        if (now - listedAt >= LIST_INTERVAL) {
            listedAt = now;
            list(now);
        }
    }

    private void list(long now) {
        listed = engines.stream()
                .filter(engine -> engine.runs(now))
                .map(engine -> engine.known(engine.leaving(now) || draining.contains(engine)))
                .toList();
    }

    /** Returns the platform's list as it was read last; the same list until it is read again. */
    List<KnownUpstream> listed() {
        return listed;
    }

    /** Keeps new work away from an engine whose role is to change. */
    void drain(SimulatedEngine engine, long now) {
        draining.add(engine);
        list(now);
    }

    void drained(SimulatedEngine engine, long now) {
        draining.remove(engine);
        list(now);
    }

    boolean isDraining(SimulatedEngine engine) {
        return draining.contains(engine);
    }

    SimulatedEngine engine(UpstreamId id) {
        for (SimulatedEngine engine : engines) {
            if (engine.id().equals(id)) {
                return engine;
            }
        }
        throw new IllegalArgumentException("no engine " + id + " in this run");
    }

    List<SimulatedEngine> engines() {
        return engines;
    }

    List<SimulatedEngine> running(long now) {
        return engines.stream().filter(engine -> engine.runs(now)).toList();
    }

    static double price(SimulatedEngine engine) {
        return engine.cheap() ? CHEAP_PRICE : REGULAR_PRICE;
    }

    /** Returns the price of all running time until {@code now}. */
    double cost(long now) {
        double cost = 0;
        for (SimulatedEngine engine : engines) {
            double hours = Math.max(0, Math.min(now, engine.goneAt()) - engine.runsFrom()) / NANOS_PER_HOUR;
            cost += hours * price(engine);
        }
        return cost;
    }
}
