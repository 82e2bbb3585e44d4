package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.model.Revision;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.eclipse.jetty.http.HttpStatus;

/**
 * An authenticated request of an operator.
 *
 * @param path the path segments after {@code /operator/v1/}
 * @param basedOn the configuration revision that a change is based on, not yet parsed
 * @param account the account whose keys are listed; empty for all
 */
record OperatorRequest(
        String method, List<String> path, Optional<String> basedOn, Optional<String> account, byte[] body) {

    /** Returns whether the request has the given method and number of path segments. */
    boolean is(String requiredMethod, int segments) {
        return method.equals(requiredMethod) && path.size() == segments;
    }

    /** Returns whether the request is an action on an entry, such as {@code POST services/<name>/diff}. */
    boolean isAction(String action) {
        return is("POST", 3) && path.get(2).equals(action);
    }

    String collection() {
        return path.isEmpty() ? "" : path.getFirst();
    }

    /** Parses the name of the entry, which is the second path segment. */
    <T> T name(Function<String, T> parse) throws OperatorRefusalException {
        try {
            return parse.apply(path.get(1));
        } catch (IllegalArgumentException rejected) {
            throw new OperatorRefusalException(HttpStatus.BAD_REQUEST_400, "invalid_name", rejected.getMessage());
        }
    }

    JsonNode document() throws InvalidDocumentException {
        return ConfigurationDocuments.parse(body);
    }

    /** Returns the revision that a change is based on; a change without one is refused. */
    Revision revision() throws OperatorRefusalException {
        try {
            return new Revision(Long.parseLong(basedOn.orElse("")));
        } catch (IllegalArgumentException rejected) {
            throw new OperatorRefusalException(
                    HttpStatus.BAD_REQUEST_400,
                    "invalid_revision",
                    "query parameter basedOn is '" + basedOn.orElse("missing")
                            + "'; expected the revision that the change is based on, as a whole number");
        }
    }
}
