package io.banyantally.standins.experiment;

import io.banyantally.internal.fleet.FleetUpstream;
import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.standins.engine.EngineCosts;
import io.banyantally.standins.engine.EngineEvent;
import io.banyantally.standins.engine.EngineJob;
import io.banyantally.standins.engine.EngineModel;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** An engine of a run: the cost model with its zone, price class, start and end. */
final class SimulatedEngine implements Engine {
    private static final int UNUSED_PORT = 1;

    private final UpstreamId id;
    private final ServiceName service;
    private final AvailabilityZone zone;
    private final boolean cheap;
    private final EngineModel model;
    private final Map<Long, JobListener> listeners = new HashMap<>();
    private final long startsAt;
    private long leavingFrom = Long.MAX_VALUE;
    private long terminatesAt = Long.MAX_VALUE;
    private boolean reclaimed;

    SimulatedEngine(
            String id, ServiceName service, AvailabilityZone zone, boolean cheap, EngineRole role, long startsAt) {
        this.id = new UpstreamId(id);
        this.service = service;
        this.zone = zone;
        this.cheap = cheap;
        this.startsAt = startsAt;
        this.model = new EngineModel(EngineCosts.DEFAULT, role, startsAt, false);
    }

    UpstreamId id() {
        return id;
    }

    AvailabilityZone zone() {
        return zone;
    }

    boolean cheap() {
        return cheap;
    }

    EngineModel model() {
        return model;
    }

    boolean isRunning(long now) {
        return now >= startsAt && now < terminatesAt;
    }

    long startsAt() {
        return startsAt;
    }

    long terminatesAt() {
        return terminatesAt;
    }

    boolean leaving(long now) {
        return now >= leavingFrom;
    }

    boolean reclaimed() {
        return reclaimed;
    }

    void leave(long from, long terminates, boolean byReclaim) {
        leavingFrom = Math.min(leavingFrom, from);
        terminatesAt = Math.min(terminatesAt, terminates);
        reclaimed |= byReclaim;
    }

    void submit(EngineJob job, JobListener listener) {
        listeners.put(job.id(), listener);
        model.submit(job);
    }

    void cancel(long jobId) {
        listeners.remove(jobId);
        model.cancel(jobId);
    }

    void advance(long now) {
        if (now >= terminatesAt) {
            crash(now);
        } else if (now >= startsAt) {
            model.advanceTo(now, this::notifyListener);
        }
    }

    private void crash(long now) {
        if (listeners.isEmpty()) {
            return;
        }
        Map<Long, JobListener> lost = new TreeMap<>(listeners);
        listeners.clear();
        Map<Long, Integer> generated = new HashMap<>();
        lost.keySet().forEach(job -> generated.put(job, model.generatedTokens(job)));
        model.crash();
        lost.forEach((job, listener) -> listener.lost(now, generated.get(job)));
    }

    private void notifyListener(EngineEvent event) {
        switch (event.kind()) {
            case FIRST_TOKEN -> listeners.get(event.jobId()).firstToken(event.nanoTime());
            case FINISHED -> listeners.remove(event.jobId()).finished(event.nanoTime());
            case TOKEN ->
                throw new IllegalStateException("the experiment does not request every token, but received " + event);
        }
    }

    KnownUpstream toKnownUpstream(boolean listedAsLeaving) {
        return new KnownUpstream(
                id, service, zone, InetSocketAddress.createUnresolved("unused", UNUSED_PORT), cheap, listedAsLeaving);
    }

    FleetUpstream toFleetUpstream(long now, double price) {
        return new FleetUpstream(id, zone, model.role(), cheap, now >= startsAt, leaving(now), model.changing(), price);
    }

    @Override
    public LoadReport loadReport() {
        return model.loadReport();
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) {
        return model.cacheEvents(after);
    }

    @Override
    public AnswerStream generate(GenerationRequest request) throws UpstreamException {
        throw unsupported();
    }

    @Override
    public void cancel(ExchangeId exchange) throws UpstreamException {
        throw unsupported();
    }

    @Override
    public void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
        throw unsupported();
    }

    @Override
    public EngineState state() throws UpstreamException {
        throw unsupported();
    }

    @Override
    public void transferCache(long prefixHash, Engine destination) throws UpstreamException {
        throw unsupported();
    }

    private static UpstreamException unsupported() {
        return new UpstreamRefusedException("the experiment drives the cost model directly");
    }
}
