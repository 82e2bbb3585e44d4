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

/** Builds the JSON answers that several resources share. */
final class OperatorAnswers {

    private OperatorAnswers() {}

    static ObjectNode withRevision(Revision revision) {
        return Documents.MAPPER.createObjectNode().put("revision", revision.value());
    }

    /** Answers 200 for an accepted change and 202 for one that was written and not yet confirmed. */
    static OperatorAnswer outcome(ChangeOutcome outcome) {
        ObjectNode body = withRevision(outcome.revision());
        body.put("status", outcome.confirmed() ? "accepted" : "written, not yet confirmed");
        return new OperatorAnswer(outcome.confirmed() ? HttpStatus.OK_200 : HttpStatus.ACCEPTED_202, body);
    }

    static OperatorRefusalException noSuchPath(OperatorRequest request) {
        return new OperatorRefusalException(
                HttpStatus.NOT_FOUND_404,
                "not_found",
                request.method() + " /operator/v1/" + String.join("/", request.path()) + " does not exist");
    }

    static OperatorAnswer invalid(List<FieldProblem> problems) {
        ObjectNode body = error("invalid_document", "the document has " + problems.size() + " problem(s)");
        ArrayNode list = body.putArray("problems");
        problems.forEach(problem -> list.addObject()
                .put("path", problem.path())
                .put("found", problem.found())
                .put("allowed", problem.allowed()));
        return new OperatorAnswer(HttpStatus.UNPROCESSABLE_ENTITY_422, body);
    }

    static OperatorAnswer conflict(ConfigurationConflictException conflict) {
        ObjectNode body = error("conflict", conflict.getMessage());
        body.put("basedOn", conflict.basedOn().value());
        body.put("revision", conflict.current().value());
        ArrayNode entries = body.putArray("entries");
        conflict.entries().forEach(entry -> {
            ObjectNode sides = entries.addObject().put("path", entry.path());
            sides.set("requested", document(entry.requested()));
            sides.set("present", document(entry.present()));
        });
        return new OperatorAnswer(HttpStatus.CONFLICT_409, body);
    }

    private static JsonNode document(Optional<Object> entry) {
        return switch (entry.orElse(null)) {
            case ServiceTemplate service -> Documents.write(service);
            case ClientAccountParameters account -> Documents.write(account);
            case null, default -> Documents.MAPPER.nullNode();
        };
    }

    private static ObjectNode error(String type, String message) {
        ObjectNode body = Documents.MAPPER.createObjectNode();
        body.putObject("error").put("type", type).put("message", message).put("notRun", true);
        return body;
    }
}
