package io.banyantally.internal.http;

import java.time.Duration;
import java.util.Optional;

/** Reads from a header how long a caller waits for the first part of its answer; 30 s by default. */
final class TimeLimit {

    private static final Duration DEFAULT_LIMIT = Duration.ofSeconds(30);
    private static final int MAXIMUM_SECONDS = 3_600;
    private static final String HEADER = "Request-Timeout";

    private TimeLimit() {}

    static Duration of(HttpExchange exchange) throws RequestFailedException {
        Optional<String> header = exchange.header(HEADER);
        if (header.isEmpty()) {
            return DEFAULT_LIMIT;
        }
        try {
            double seconds = Double.parseDouble(header.get());
            if (seconds > 0 && seconds <= MAXIMUM_SECONDS) {
                return Duration.ofMillis(Math.max(1, Math.round(seconds * 1_000)));
            }
        } catch (NumberFormatException malformed) {
            // Rejected below, like a number that is out of range.
        }
        throw RequestFailedException.notRun(
                ErrorType.INVALID_REQUEST,
                "header '" + HEADER + "' must be a number of seconds above 0 and at most " + MAXIMUM_SECONDS);
    }
}
