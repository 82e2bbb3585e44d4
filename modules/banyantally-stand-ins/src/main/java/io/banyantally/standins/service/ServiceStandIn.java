package io.banyantally.standins.service;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.HttpPlainService;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.standins.ReceivedHeaders;
import io.banyantally.standins.StandInExchange;
import io.banyantally.standins.StandInServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;

/** A plain service that counts how often it executed each order. */
public final class ServiceStandIn implements AutoCloseable {

    /** Header with the order id; without it, the field {@code orderId} of a JSON body is used. */
    public static final String ORDER_HEADER = "Order-Id";

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

    private final Map<String, AtomicLong> executions = new ConcurrentSkipListMap<>();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong executed = new AtomicLong();
    private final ReceivedHeaders headers = new ReceivedHeaders();
    private final StandInServer server;
    private ServiceBehaviour behaviour = ServiceBehaviour.NORMAL;
    private long callsLeft = -1;

    private ServiceStandIn(int port) throws IOException {
        server = StandInServer.start(port, IDLE_TIMEOUT, this::handle);
    }

    /** Starts a service stand-in; port 0 takes any free port. */
    public static ServiceStandIn start(int port) throws IOException {
        return new ServiceStandIn(port);
    }

    /** Returns the address on which it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    StandInServer server() {
        return server;
    }

    /** Sets how calls are answered, as {@code POST /control/behaviour} does. */
    public synchronized void setBehaviour(ServiceBehaviour newBehaviour) {
        behaviour = newBehaviour;
        callsLeft = newBehaviour.calls();
    }

    /** Returns the report of {@code GET /control/report}. */
    public ServiceReport report() {
        List<ExecutedOrder> orders = new ArrayList<>();
        executions.forEach((id, count) -> orders.add(new ExecutedOrder(id, count.get())));
        return new ServiceReport(calls.get(), executed.get(), orders, headers.all());
    }

    private synchronized ServiceBehaviour nextBehaviour() {
        if (callsLeft == 0) {
            return ServiceBehaviour.NORMAL;
        }
        if (callsLeft > 0) {
            callsLeft--;
        }
        return behaviour;
    }

    private void handle(StandInExchange exchange) throws IOException, InterruptedException {
        switch (exchange.path()) {
            case "/control/report" -> exchange.answer(200, report());
            case "/control/behaviour" -> {
                setBehaviour(exchange.body(ServiceBehaviour.class));
                exchange.answer(200, "set");
            }
            default -> serve(exchange, nextBehaviour());
        }
    }

    private void serve(StandInExchange exchange, ServiceBehaviour currentBehaviour)
            throws IOException, InterruptedException {
        calls.incrementAndGet();
        headers.add(exchange);
        String orderId = orderId(exchange);
        Thread.sleep(currentBehaviour.delayMillis());
        String id = exchange.header(HttpPlainService.EXCHANGE_HEADER).orElse("");
        exchange.answerHeader(HttpPlainService.EXCHANGE_HEADER, id);
        switch (currentBehaviour.mode()) {
            case FAIL_BEFORE -> exchange.answer(503, "not executed");
            case CLOSE_BEFORE -> exchange.dropConnection();
            case ANSWER -> exchange.answer(200, execute(orderId));
            case FAIL_AFTER -> {
                execute(orderId);
                exchange.answer(500, "failed after the execution");
            }
            case CLOSE_AFTER -> {
                execute(orderId);
                exchange.dropConnection();
            }
            case CROSS_ANSWER -> {
                exchange.answerHeader(HttpPlainService.EXCHANGE_HEADER, "other/0/0");
                exchange.answer(200, execute(orderId));
            }
        }
    }

    private ServiceReply execute(String orderId) {
        executed.incrementAndGet();
        if (orderId.isEmpty()) {
            return new ServiceReply("", executed.get());
        }
        return new ServiceReply(
                orderId,
                executions.computeIfAbsent(orderId, _ -> new AtomicLong()).incrementAndGet());
    }

    private static String orderId(StandInExchange exchange) throws IOException {
        if (exchange.header(ORDER_HEADER).isPresent()) {
            return exchange.header(ORDER_HEADER).get();
        }
        byte[] body = exchange.body();
        if (body.length == 0 || body[0] != '{') {
            return "";
        }
        return WireFormat.decode(body, JsonNode.class).path("orderId").asText("");
    }

    @Override
    public void close() {
        server.close();
    }
}
