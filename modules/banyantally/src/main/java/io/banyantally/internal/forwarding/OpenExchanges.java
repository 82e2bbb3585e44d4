package io.banyantally.internal.forwarding;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

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
        open.forEach(CallerExchange::probe);
    }

    /** Waits until no request is open; returns false if some are after {@code limit}. */
    boolean awaitEmpty(Duration limit) throws InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!open.isEmpty() && System.nanoTime() < end) {
            Thread.sleep(PROBE_INTERVAL);
        }
        return open.isEmpty();
    }
}
