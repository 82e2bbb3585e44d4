package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ConfigurationEditor;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.eclipse.jetty.http.HttpStatus;

/** The operations on service templates or client account parameters: list, get, put, validate and diff. */
final class ConfigurationEntryResource<I extends Comparable<I>, T> implements OperatorResource {

    private final ConfigurationEntryKind<I, T> kind;
    private final ConfigurationEditor editor;

    ConfigurationEntryResource(ConfigurationEntryKind<I, T> kind, ConfigurationEditor editor) {
        this.kind = kind;
        this.editor = editor;
    }

    @Override
    public OperatorResponse handle(OperatorRequest request)
            throws OperatorRefusalException, InvalidDocumentException, ConfigurationConflictException,
                    ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        if (request.is("GET", 1)) {
            return list();
        }
        if (request.is("GET", 2)) {
            return get(request.name(kind.name()));
        }
        if (request.is("PUT", 2)) {
            T entry = read(request);
            return OperatorResponses.outcome(
                    editor.change(request.revision(), kind.put().apply(entry)));
        }
        if (request.isAction("validate")) {
            read(request);
            return new OperatorResponse(
                    HttpStatus.OK_200,
                    ConfigurationDocuments.MAPPER.createObjectNode().put("valid", true));
        }
        if (request.isAction("diff")) {
            return diff(request.name(kind.name()), kind.write().apply(read(request)));
        }
        throw OperatorResponses.noSuchPath(request);
    }

    private T read(OperatorRequest request) throws OperatorRefusalException, InvalidDocumentException {
        return kind.read().read(request.name(kind.name()), request.document());
    }

    private OperatorResponse list() {
        Configuration configuration = editor.current();
        ObjectNode body = OperatorResponses.withRevision(configuration.revision());
        ArrayNode entries = body.putArray(kind.collection());
        new TreeMap<>(kind.entries().apply(configuration))
                .values()
                .forEach(entry -> entries.add(kind.write().apply(entry)));
        return new OperatorResponse(HttpStatus.OK_200, body);
    }

    private OperatorResponse get(I name) throws OperatorRefusalException {
        Configuration configuration = editor.current();
        T entry = kind.entries().apply(configuration).get(name);
        if (entry == null) {
            throw new OperatorRefusalException(
                    HttpStatus.NOT_FOUND_404, "not_found", kind.collection() + " has no entry " + name);
        }
        ObjectNode body = OperatorResponses.withRevision(configuration.revision());
        body.set("document", kind.write().apply(entry));
        return new OperatorResponse(HttpStatus.OK_200, body);
    }

    private OperatorResponse diff(I name, ObjectNode requested) {
        Configuration configuration = editor.current();
        ObjectNode current = Optional.ofNullable(
                        kind.entries().apply(configuration).get(name))
                .map(kind.write())
                .orElseGet(ConfigurationDocuments.MAPPER::createObjectNode);
        ObjectNode body = OperatorResponses.withRevision(configuration.revision());
        ArrayNode changes = body.putArray("changes");
        TreeSet<String> fields = new TreeSet<>();
        current.fieldNames().forEachRemaining(fields::add);
        requested.fieldNames().forEachRemaining(fields::add);
        for (String field : fields) {
            JsonNode before = current.path(field);
            JsonNode after = requested.path(field);
            if (!before.equals(after)) {
                ObjectNode change = changes.addObject().put("path", "/" + field);
                change.set("present", before.isMissingNode() ? null : before);
                change.set("requested", after);
            }
        }
        return new OperatorResponse(HttpStatus.OK_200, body);
    }
}
