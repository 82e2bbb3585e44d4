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

/** An engine in memory that carries out orders at once and keeps the time of the first order of each owner. */
final class MeasuredEngine implements Engine {

    private EngineTarget target;
    private FencingNumber highestSeen = FencingNumber.NONE;
    private long sequence;
    private long firstOrderOfOwner;

    MeasuredEngine(EngineTarget initial) {
        target = initial;
    }

    synchronized FencingNumber owner() {
        return highestSeen;
    }

    synchronized long firstOrderOfOwner() {
        return firstOrderOfOwner;
    }

    synchronized EngineTarget target() {
        return target;
    }

    @Override
    public synchronized void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
        if (!authority.isGranted()) {
            throw new NotSentException("the sender may no longer act");
        }
        if (order.fencingNumber().isAfter(highestSeen)) {
            firstOrderOfOwner = System.nanoTime();
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
        throw new UnsupportedOperationException("this engine takes orders only");
    }

    @Override
    public void cancel(ExchangeId exchange) {}

    @Override
    public LoadReport loadReport() {
        throw new UnsupportedOperationException("this engine takes orders only");
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) {
        return List.of();
    }

    @Override
    public void transferCache(long prefixHash, Engine destination) {}
}
