package io.banyantally.standins.engine;

import io.banyantally.internal.adapter.CacheTransferRequest;
import io.banyantally.internal.adapter.HttpEngine;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.ModelName;
import io.banyantally.standins.BadRequestException;
import io.banyantally.standins.ReceivedHeaders;
import io.banyantally.standins.StandInExchange;
import io.banyantally.standins.StandInServer;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.GenerationRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** An HTTP server that stands in for a model engine, with the timing of {@link EngineModel}. */
public final class EngineStandIn implements AutoCloseable {

    /** The most generations that a report lists. */
    public static final int KEPT_GENERATIONS = 20_000;

    private static final int NOT_FOUND = 404;

    private final RealTimeEngine engine;
    private final OrderProcessor orders;
    private final GenerationLog log = new GenerationLog(KEPT_GENERATIONS);
    private final GenerationRunner runner;
    private final ReceivedHeaders headers = new ReceivedHeaders();
    private final AtomicLong orderBodiesTimedOut = new AtomicLong();
    private final Runnable crash;
    private final StandInServer server;

    private EngineStandIn(int port, EngineOptions options, Runnable crash) throws IOException {
        this.crash = crash;
        engine = new RealTimeEngine(options.costs(), options.role);
        EngineTarget initial = new EngineTarget(new ModelName(options.model), options.version, List.of(), options.role);
        orders = new OrderProcessor(initial, options.ignoreFencing, options.changeMillis);
        runner = new GenerationRunner(engine, orders, log, options.batch + options.queue);
        server = StandInServer.start(port, Duration.ofMillis(options.idleTimeoutMillis), this::handle);
    }

    /**
     * Starts an engine; port 0 takes any free port.
     *
     * @param crash run by {@code POST /control/crash}
     */
    public static EngineStandIn start(int port, EngineOptions options, Runnable crash) throws IOException {
        return new EngineStandIn(port, options, crash);
    }

    /** Returns the address on which it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    StandInServer server() {
        return server;
    }

    /** Returns the report of {@code GET /control/report}. */
    public EngineReport report() {
        return new EngineReport(
                orders.state(),
                log.startedCount(),
                log.finishedCount(),
                log.tokenCount(),
                engine.jobs(),
                log.generations(),
                orders.received(),
                orders.violations(),
                orderBodiesTimedOut.get(),
                headers.all());
    }

    private void handle(StandInExchange exchange) throws IOException, InterruptedException {
        String path = exchange.path();
        if (!path.startsWith("/control/")) {
            headers.add(exchange);
        }
        switch (path) {
            case "/generate" -> runner.run(exchange.body(GenerationRequest.class), exchange);
            case "/cancel" -> {
                runner.cancel(exchange.body(ExchangeId.class).toString());
                exchange.answer(200, "cancelled");
            }
            case "/load" -> exchange.answer(200, engine.loadReport());
            case "/cache-events" -> exchange.answer(200, engine.cacheEvents(after(exchange)));
            case "/orders" -> applyOrder(exchange);
            case "/state" -> exchange.answer(200, orders.state());
            case "/cache/transfer" -> transferCache(exchange);
            case "/cache/import" -> {
                engine.importPrefix(Long.parseLong(exchange.requiredParameter("prefix")));
                exchange.answer(200, "stored");
            }
            case "/control/report" -> exchange.answer(200, report());
            case "/control/crash" -> crash.run();
            default -> exchange.answer(NOT_FOUND, "unknown engine path " + path);
        }
    }

    private static long after(StandInExchange exchange) throws BadRequestException {
        return Long.parseLong(exchange.requiredParameter("after"));
    }

    private void applyOrder(StandInExchange exchange) throws IOException {
        EngineOrder order;
        try {
            order = exchange.body(EngineOrder.class);
        } catch (BadRequestException failure) {
            throw failure;
        } catch (IOException lateBody) {
            orderBodiesTimedOut.incrementAndGet();
            exchange.dropConnection();
            return;
        }
        if (orders.apply(order)) {
            engine.changeRole(order.target().role());
            exchange.answer(200, orders.state());
        } else {
            exchange.answer(HttpEngine.STALE_FENCING_NUMBER, "stale fencing number: a higher one was seen before");
        }
    }

    private void transferCache(StandInExchange exchange) throws IOException, InterruptedException {
        CacheTransferRequest request = exchange.body(CacheTransferRequest.class);
        if (!engine.holds(request.prefixHash())) {
            exchange.answer(HttpEngine.NOT_RUN, "the prefix is not in the cache");
            return;
        }
        Thread.sleep(Duration.ofNanos(engine.blockTransferNanos()));
        URI destination =
                URI.create("http://" + request.destination() + "/cache/import?prefix=" + request.prefixHash());
        HttpRequest importRequest = HttpRequest.newBuilder(destination)
                .POST(HttpRequest.BodyPublishers.noBody())
                .build();
        try (HttpClient client = HttpClient.newHttpClient()) {
            int status = client.send(importRequest, HttpResponse.BodyHandlers.discarding())
                    .statusCode();
            exchange.answer(status, "sent");
        }
    }

    @Override
    public void close() {
        server.close();
        engine.close();
    }
}
