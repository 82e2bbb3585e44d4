package io.banyantally.internal.routing;

import io.banyantally.model.ExchangeId;
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
import java.util.ArrayList;
import java.util.List;

/** An engine that only answers polls, and counts them. */
final class ReportingEngine implements Engine {
    LoadReport report = new LoadReport(1, 0, 0, 10, 400, EngineRole.MIXED);
    final List<CacheEvent> events = new ArrayList<>();
    int polls;

    @Override
    public LoadReport loadReport() {
        polls++;
        return report;
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) {
        return events.stream().filter(event -> event.number() > after).toList();
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
        return new UpstreamRefusedException("this engine only answers polls for load and cache events");
    }
}
