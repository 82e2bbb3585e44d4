package io.banyantally.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.WireFormat;
import java.io.IOException;

/** Parses the JSON errors of the callers' interface. */
final class ErrorAnswer {

    private ErrorAnswer() {}

    /** Returns the outcome for an answer with an error status. */
    static Outcome outcome(int status, byte[] body) {
        try {
            return outcome(status, WireFormat.decode(body, JsonNode.class).path("error"));
        } catch (IOException notJson) {
            return new Outcome(Outcome.Kind.UNKNOWN, "status-" + status, 0, 0, 0, 0);
        }
    }

    /** Returns the outcome for an error object. */
    static Outcome outcome(int status, JsonNode error) {
        Outcome.Kind kind = error.path("notRun").asBoolean(false) ? Outcome.Kind.NOT_RUN : Outcome.Kind.UNKNOWN;
        String type = error.path("type").asText("status-" + status);
        return new Outcome(kind, type, 0, 0, 0, error.path("retryAfterSeconds").asDouble(0));
    }
}
