package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ConfigurationEditor;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;
import io.banyantally.internal.configuration.IssuedKey;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyRecord;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.eclipse.jetty.http.HttpStatus;

/** The operations on API keys: list, create and withdraw. The secret is only in the response that creates the key. */
final class KeyResource implements OperatorResource {

    private final ConfigurationEditor editor;
    private final KeyGenerator generator;

    KeyResource(ConfigurationEditor editor, KeyGenerator generator) {
        this.editor = editor;
        this.generator = generator;
    }

    @Override
    public OperatorResponse handle(OperatorRequest request)
            throws OperatorRefusalException, InvalidDocumentException, ConfigurationConflictException,
                    ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        if (request.is("GET", 1)) {
            return list(request);
        }
        if (request.is("POST", 1)) {
            return create(request);
        }
        if (request.is("DELETE", 2)) {
            KeyId key = request.name(KeyId::new);
            boolean known = editor.current().keys().containsKey(key);
            OperatorResponse response = OperatorResponses.outcome(editor.withdrawKey(request.revision(), key));
            ((ObjectNode) response.body()).put("keyId", key.value()).put("wasKnownHere", known);
            return response;
        }
        throw OperatorResponses.noSuchPath(request);
    }

    private OperatorResponse list(OperatorRequest request) {
        Configuration configuration = editor.current();
        ObjectNode body = OperatorResponses.withRevision(configuration.revision());
        ArrayNode keys = body.putArray("keys");
        configuration.keys().values().stream()
                .filter(key -> request.account()
                        .map(wanted -> wanted.equals(key.account().value()))
                        .orElse(true))
                .sorted(Comparator.comparing(KeyRecord::account).thenComparing(KeyRecord::id))
                .forEach(key -> keys.addObject()
                        .put("keyId", key.id().value())
                        .put("account", key.account().value()));
        return new OperatorResponse(HttpStatus.OK_200, body);
    }

    private OperatorResponse create(OperatorRequest request)
            throws OperatorRefusalException, InvalidDocumentException, ConfigurationConflictException,
                    ConfigurationNotWrittenException, ConfigurationOutcomeUnknownException {
        ClientAccountId account = account(request);
        if (!editor.current().accounts().containsKey(account)) {
            throw new OperatorRefusalException(
                    HttpStatus.NOT_FOUND_404, "not_found", "accounts has no entry " + account + "; put it first");
        }
        IssuedKey key = editor.issueKey(request.revision(), generator.generate(account));
        OperatorResponse response = OperatorResponses.outcome(key.outcome());
        ((ObjectNode) response.body())
                .put("keyId", key.id().value())
                .put("account", account.value())
                .put("key", key.text());
        return response;
    }

    private static ClientAccountId account(OperatorRequest request) throws InvalidDocumentException {
        List<FieldProblem> problems = new ArrayList<>();
        FieldReader reader = new FieldReader(request.document(), "", problems);
        ClientAccountId account =
                reader.text("account", new ClientAccountId("none"), "a client account", ClientAccountId::plain);
        reader.rejectUnknownFields();
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(problems);
        }
        return account;
    }
}
