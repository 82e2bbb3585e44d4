package io.banyantally.standins.measure;

import io.banyantally.model.ExchangeId;
import io.banyantally.model.FencingNumber;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.UpstreamException;
import java.util.List;

/** An in-memory engine that applies orders at once and records when the first order of the latest owner arrived. */
final class MeasuredEngine implements Engine {

    private EngineTarget target;
    private FencingNumber highestSeen = FencingNumber.NONE;
    private long sequence;
    private long firstOrderNanos;

    MeasuredEngine(EngineTarget initial) {
        target = initial;
    }

    synchronized FencingNumber highestFencingNumber() {
        return highestSeen;
    }

    synchronized long firstOrderNanos() {
        return firstOrderNanos;
    }

    synchronized EngineTarget target() {
        return target;
    }

    @Override
    public synchronized void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
        if (!authority.isGranted()) {
            throw new NotSentException("the permission of the sender has ended");
        }
        if (order.fencingNumber().isAfter(highestSeen)) {
            firstOrderNanos = System.nanoTime();
        }
        highestSeen = order.fencingNumber();
        sequence = order.sequence();
        target = order.target();
    }

    @Override
    public synchronized EngineState state() {
        return new EngineState(target, false, highestSeen, sequence);
    }

    @Override
    public AnswerStream generate(GenerationRequest request) {
        throw new UnsupportedOperationException("this engine supports orders only");
    }

    @Override
    public void cancel(ExchangeId exchange) {}

    @Override
    public LoadReport loadReport() {
        throw new UnsupportedOperationException("this engine supports orders only");
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) {
        return List.of();
    }

    @Override
    public void transferCache(long prefixHash, Engine destination) {}
}
