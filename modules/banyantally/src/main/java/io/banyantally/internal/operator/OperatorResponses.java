package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.ChangeOutcome;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ServiceTemplate;
import io.banyantally.model.Revision;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpStatus;

/** Builds the JSON responses that several resources share. */
final class OperatorResponses {

    private OperatorResponses() {}

    static ObjectNode withRevision(Revision revision) {
        return ConfigurationDocuments.MAPPER.createObjectNode().put("revision", revision.value());
    }

    /**
     * Builds a response with status 200 for a confirmed change, or 202 for one that is written but not yet confirmed.
     */
    static OperatorResponse outcome(ChangeOutcome outcome) {
        ObjectNode body = withRevision(outcome.revision());
        body.put("status", outcome.confirmed() ? "accepted" : "written, not yet confirmed");
        return new OperatorResponse(outcome.confirmed() ? HttpStatus.OK_200 : HttpStatus.ACCEPTED_202, body);
    }

    static OperatorRefusalException noSuchPath(OperatorRequest request) {
        return new OperatorRefusalException(
                HttpStatus.NOT_FOUND_404,
                "not_found",
                request.method() + " /operator/v1/" + String.join("/", request.path()) + " does not exist");
    }

    static OperatorResponse invalid(List<FieldProblem> problems) {
        ObjectNode body = error("invalid_document", "the document has " + problems.size() + " problem(s)");
        ArrayNode list = body.putArray("problems");
        problems.forEach(problem -> list.addObject()
                .put("path", problem.path())
                .put("found", problem.found())
                .put("allowed", problem.allowed()));
        return new OperatorResponse(HttpStatus.UNPROCESSABLE_ENTITY_422, body);
    }

    static OperatorResponse conflict(ConfigurationConflictException conflict) {
        ObjectNode body = error("conflict", conflict.getMessage());
        body.put("basedOn", conflict.basedOn().value());
        body.put("revision", conflict.current().value());
        ArrayNode entries = body.putArray("entries");
        conflict.entries().forEach(entry -> {
            ObjectNode item = entries.addObject().put("path", entry.path());
            item.set("requested", document(entry.requested()));
            item.set("present", document(entry.present()));
        });
        return new OperatorResponse(HttpStatus.CONFLICT_409, body);
    }

    private static JsonNode document(Optional<Object> entry) {
        return switch (entry.orElse(null)) {
            case ServiceTemplate service -> ConfigurationDocuments.write(service);
            case ClientAccountParameters account -> ConfigurationDocuments.write(account);
            case null, default -> ConfigurationDocuments.MAPPER.nullNode();
        };
    }

    private static ObjectNode error(String type, String message) {
        ObjectNode body = ConfigurationDocuments.MAPPER.createObjectNode();
        body.putObject("error").put("type", type).put("message", message).put("notRun", true);
        return body;
    }
}
