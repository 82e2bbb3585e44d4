package io.banyantally.standins.platform;

import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Serves the weight store with a limit on reads per second. */
final class WeightHandler {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final List<String> DEFAULT_VERSIONS = List.of("2", "1");

    private final double readsPerSecond;
    private final Map<String, List<String>> versions = new ConcurrentHashMap<>();
    private double availableReads;
    private long refilledAt = System.nanoTime();

    WeightHandler(double readsPerSecond) {
        this.readsPerSecond = readsPerSecond;
        this.availableReads = readsPerSecond;
    }

    Answer handle(StandInExchange exchange) throws IOException {
        String model = exchange.requiredParameter("model");
        if (!tryAcquireRead()) {
            return Answer.refused(TOO_MANY_REQUESTS, "at most " + readsPerSecond + " reads per second are allowed");
        }
        return Answer.of(versions.getOrDefault(model, DEFAULT_VERSIONS));
    }

    void setVersions(String model, List<String> newestFirst) {
        versions.put(model, List.copyOf(newestFirst));
    }

    private synchronized boolean tryAcquireRead() {
        long now = System.nanoTime();
        availableReads = Math.min(
                Math.max(1, readsPerSecond), availableReads + (now - refilledAt) / NANOS_PER_SECOND * readsPerSecond);
        refilledAt = now;
        if (availableReads < 1) {
            return false;
        }
        availableReads--;
        return true;
    }
}
