package io.banyantally.internal.forwarding;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The requests in progress on this VM, which are probed periodically for callers that have disconnected. */
final class OpenExchanges {

    /** A disconnect of a caller is detected within this time; the upstream must stop within half a second. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(60);

    private final Set<CallerExchange> open = ConcurrentHashMap.newKeySet();

    void add(CallerExchange exchange) {
        open.add(exchange);
    }

    void remove(CallerExchange exchange) {
        open.remove(exchange);
    }

    int size() {
        return open.size();
    }

    void probeConnections() {
        forEach(CallerExchange::probeConnection);
    }

    void forEach(Consumer<CallerExchange> action) {
        open.forEach(action);
    }

    /** Waits until no request is in progress; returns false if some still are after {@code limit}. */
    boolean awaitEmpty(Duration limit) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + limit.toNanos();
        for (long remainingNanos = limit.toNanos();
                !open.isEmpty() && remainingNanos > 0;
                remainingNanos = deadlineNanos - System.nanoTime()) {
            Thread.sleep(Duration.ofNanos(Math.min(remainingNanos, PROBE_INTERVAL.toNanos())));
        }
        return open.isEmpty();
    }
}
