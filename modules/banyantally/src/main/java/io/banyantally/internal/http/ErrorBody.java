package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds the JSON body of a typed error. */
final class ErrorBody {

    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorBody() {}

    static ObjectNode of(RequestFailedException failure) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ObjectNode error = body.putObject("error");
        error.put("type", failure.type().wireName());
        error.put("message", failure.getMessage());
        error.put("notRun", failure.isNotRun());
        failure.retryAfter().ifPresent(after -> error.put("retryAfterSeconds", secondsRoundedUp(after)));
        return body;
    }

    /** Rounds up to at least 1 s, since a caller that retries too early is refused again. */
    static long secondsRoundedUp(java.time.Duration duration) {
        return Math.max(1, (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
