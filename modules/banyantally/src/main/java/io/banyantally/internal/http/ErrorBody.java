package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The JSON of an error. */
final class ErrorBody {

    private static final long MILLIS_PER_SECOND = 1_000;

    private ErrorBody() {}

    static ObjectNode of(RequestRefusedException refusal) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        ObjectNode error = body.putObject("error");
        error.put("type", refusal.type().wireName());
        error.put("message", refusal.getMessage());
        error.put("notRun", refusal.isNotRun());
        refusal.retryAfter().ifPresent(after -> error.put("retryAfterSeconds", wholeSeconds(after)));
        return body;
    }

    /** Rounds up, since a caller that comes back too early is refused again. */
    static long wholeSeconds(java.time.Duration duration) {
        return Math.max(1, (duration.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }
}
