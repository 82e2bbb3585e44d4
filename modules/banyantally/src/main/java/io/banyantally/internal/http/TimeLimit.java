package io.banyantally.internal.http;

import java.time.Duration;
import java.util.Optional;

/** Reads how long a caller waits for its answer to begin. */
final class TimeLimit {

    private static final Duration DEFAULT = Duration.ofSeconds(30);
    private static final int MAXIMUM_SECONDS = 3_600;
    private static final String HEADER = "Request-Timeout";

    private TimeLimit() {}

    static Duration of(HttpExchange exchange) throws RequestRefusedException {
        Optional<String> header = exchange.header(HEADER);
        if (header.isEmpty()) {
            return DEFAULT;
        }
        try {
            double seconds = Double.parseDouble(header.get());
            if (seconds > 0 && seconds <= MAXIMUM_SECONDS) {
                return Duration.ofMillis(Math.max(1, Math.round(seconds * 1_000)));
            }
        } catch (NumberFormatException malformed) {
            // Refused below like a number outside the limits.
        }
        throw RequestRefusedException.notRun(
                ErrorType.INVALID_REQUEST,
                "header '" + HEADER + "' must be a number of seconds above 0 and at most " + MAXIMUM_SECONDS);
    }
}
