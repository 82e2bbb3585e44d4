package io.banyantally.internal.forwarding;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** The requests that this VM is answering. Looks at intervals which callers have left. */
final class OpenExchanges {

    /** A caller that leaves is noticed within this time; its upstream must stop within half a second. */
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

    void probe() {
        forEach(CallerExchange::probe);
    }

    void forEach(Consumer<CallerExchange> action) {
        open.forEach(action);
    }

    /** Waits until no request is open; returns false if some are after {@code limit}. */
    boolean awaitEmpty(Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        for (long left = limit.toNanos(); !open.isEmpty() && left > 0; left = end - System.nanoTime()) {
            Thread.sleep(Duration.ofNanos(Math.min(left, PROBE_INTERVAL.toNanos())));
        }
        return open.isEmpty();
    }
}
