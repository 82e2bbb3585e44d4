package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.model.Revision;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpStatus;

/**
 * A request whose operator's token was accepted.
 *
 * @param path the segments after {@code /operator/v1/}
 * @param basedOn the revision that the author of a write had read, as text
 * @param account the account that a list is limited to
 */
record OperatorRequest(
        String method, List<String> path, Optional<String> basedOn, Optional<String> account, byte[] body) {

    /** Returns whether the request has a method and a number of path segments. */
    boolean is(String wantedMethod, int segments) {
        return method.equals(wantedMethod) && path.size() == segments;
    }

    /** Returns whether the request acts on an entry, such as {@code POST services/<name>/diff}. */
    boolean isAction(String action) {
        return is("POST", 3) && path.get(2).equals(action);
    }

    String collection() {
        return path.isEmpty() ? "" : path.getFirst();
    }

    /** Parses the name of the entry. */
    <T> T name(Function<String, T> parse) throws OperatorRefusalException {
        try {
            return parse.apply(path.get(1));
        } catch (IllegalArgumentException rejected) {
            throw new OperatorRefusalException(HttpStatus.BAD_REQUEST_400, "invalid_name", rejected.getMessage());
        }
    }

    JsonNode document() throws InvalidDocumentException {
        return Documents.parse(body);
    }

    /** Returns the revision that a write was based on; every write must name it. */
    Revision revision() throws OperatorRefusalException {
        try {
            return new Revision(Long.parseLong(basedOn.orElse("")));
        } catch (IllegalArgumentException rejected) {
            throw new OperatorRefusalException(
                    HttpStatus.BAD_REQUEST_400,
                    "invalid_revision",
                    "query parameter basedOn is '" + basedOn.orElse("missing")
                            + "'; name the revision that the change was based on, as a whole number");
        }
    }
}
