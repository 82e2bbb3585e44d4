package io.banyantally.standins.platform;

import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The weight store, limited to a number of reads a second. */
final class WeightHandler {

    private static final int TOO_MANY_REQUESTS = 429;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final List<String> DEFAULT_VERSIONS = List.of("2", "1");

    private final double readsPerSecond;
    private final Map<String, List<String>> versions = new ConcurrentHashMap<>();
    private double allowance;
    private long refilledAt = System.nanoTime();

    WeightHandler(double readsPerSecond) {
        this.readsPerSecond = readsPerSecond;
        this.allowance = readsPerSecond;
    }

    Answer handle(StandInExchange exchange) throws IOException {
        String model = exchange.requiredParameter("model");
        if (!takeAllowance()) {
            return Answer.refused(TOO_MANY_REQUESTS, "at most " + readsPerSecond + " reads a second are allowed");
        }
        return Answer.of(versions.getOrDefault(model, DEFAULT_VERSIONS));
    }

    void setVersions(String model, List<String> newestFirst) {
        versions.put(model, List.copyOf(newestFirst));
    }

    private synchronized boolean takeAllowance() {
        long now = System.nanoTime();
        allowance = Math.min(
                Math.max(1, readsPerSecond), allowance + (now - refilledAt) / NANOS_PER_SECOND * readsPerSecond);
        refilledAt = now;
        if (allowance < 1) {
            return false;
        }
        allowance--;
        return true;
    }
}
