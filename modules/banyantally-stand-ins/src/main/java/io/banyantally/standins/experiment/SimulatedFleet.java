package io.banyantally.standins.experiment;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.List;

/** The engines of a run: their start, reclaim and cost, and the platform's upstream list. */
final class SimulatedFleet {
    static final double REGULAR_PRICE = 1.0;
    static final double CHEAP_PRICE = 0.4;
    static final long START_NANOS = 60 * TraceGenerator.NANOS_PER_SECOND;
    static final long NOTICE_NANOS = 4 * TraceGenerator.NANOS_PER_SECOND;

    /** How long no cheap upstream can be ordered in the reclaimed zone. */
    static final long SHORTAGE_NANOS = 90 * TraceGenerator.NANOS_PER_SECOND;

    private static final long LIST_INTERVAL_NANOS = TraceGenerator.NANOS_PER_SECOND / 2;
    private static final double NANOS_PER_HOUR = 3_600e9;

    private final Trace trace;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final List<SimulatedEngine> draining = new ArrayList<>();
    private List<KnownUpstream> listed = List.of();
    private long listedAt = Long.MIN_VALUE / 2;
    private boolean reclaimStarted;
    private int ordered;

    SimulatedFleet(Trace trace) {
        this.trace = trace;
        List<AvailabilityZone> zones = trace.site().zones();
        for (int engine = 0; engine < Site.ENGINES; engine++) {
            AvailabilityZone zone = zones.get(engine / 2);
            add(zone, zone.equals(trace.reclaimedZone()), 0);
        }
    }

    private SimulatedEngine add(AvailabilityZone zone, boolean cheap, long startsAt) {
        SimulatedEngine engine = new SimulatedEngine(
                "engine-" + ordered++, trace.site().service(), zone, cheap, EngineRole.MIXED, startsAt);
        engines.add(engine);
        return engine;
    }

    /** Orders an upstream. Returns false when the zone has no cheap one. */
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

    /** Orders an upstream of the same zone, price class and role as a replacement. */
    void replace(SimulatedEngine reclaimed, long now) {
        SimulatedEngine engine = add(reclaimed.zone(), reclaimed.cheap(), now + START_NANOS);
        engine.model().startInRole(reclaimed.model().role());
    }

    void advance(long now) {
        if (!reclaimStarted && now >= trace.reclaimAt()) {
            reclaimStarted = true;
            engines.stream()
                    .filter(engine ->
                            engine.cheap() && engine.zone().equals(trace.reclaimedZone()) && engine.isRunning(now))
                    .forEach(engine -> engine.leave(now, now + NOTICE_NANOS, true));
        }
        engines.forEach(engine -> engine.advance(now));
        if (now - listedAt >= LIST_INTERVAL_NANOS) {
            listedAt = now;
            refreshList(now);
        }
    }

    private void refreshList(long now) {
        listed = engines.stream()
                .filter(engine -> engine.isRunning(now))
                .map(engine -> engine.toKnownUpstream(engine.leaving(now) || draining.contains(engine)))
                .toList();
    }

    /** Returns the platform's list as last read; the same object until the next read. */
    List<KnownUpstream> listed() {
        return listed;
    }

    /** Lists an engine as leaving before its role change, so that it gets no new work. */
    void drain(SimulatedEngine engine, long now) {
        draining.add(engine);
        refreshList(now);
    }

    void drained(SimulatedEngine engine, long now) {
        draining.remove(engine);
        refreshList(now);
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
        return engines.stream().filter(engine -> engine.isRunning(now)).toList();
    }

    static double price(SimulatedEngine engine) {
        return engine.cheap() ? CHEAP_PRICE : REGULAR_PRICE;
    }

    /** Returns the price of the running time of all engines until {@code now}. */
    double cost(long now) {
        double cost = 0;
        for (SimulatedEngine engine : engines) {
            double hours = Math.max(0, Math.min(now, engine.terminatesAt()) - engine.startsAt()) / NANOS_PER_HOUR;
            cost += hours * price(engine);
        }
        return cost;
    }
}
