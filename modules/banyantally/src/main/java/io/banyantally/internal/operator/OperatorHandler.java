package io.banyantally.internal.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.configuration.ConfigurationConflictException;
import io.banyantally.internal.configuration.ConfigurationEditor;
import io.banyantally.internal.configuration.ConfigurationNotWrittenException;
import io.banyantally.internal.configuration.ConfigurationOutcomeUnknownException;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.SaltedHash;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * The operators' interface under {@code /operator/v1/}. Every request presents the operator's token. Blocks the calling
 * thread, so run it on virtual threads.
 */
public final class OperatorHandler extends Handler.Abstract {

    private static final String PREFIX = "/operator/v1/";
    private static final String SCHEME = "Bearer ";
    private static final int MAXIMUM_BODY_BYTES = 500_000;

    private final SaltedHash token;
    private final ConfigurationEditor editor;
    private final Map<String, OperatorResource> resources;
    private final Map<String, StatusSection> sections = new ConcurrentSkipListMap<>();

    /** Creates the handler; {@code token} is the salted hash of the operator's token. */
    public OperatorHandler(SaltedHash token, ConfigurationEditor editor, KeyGenerator keys) {
        this.token = token;
        this.editor = editor;
        this.resources = Map.of(
                "services", new EntryResource<>(EntryKind.services(), editor),
                "accounts", new EntryResource<>(EntryKind.accounts(), editor),
                "keys", new KeyResource(editor, keys),
                "roster", this::roster,
                "status", this::status);
    }

    /** Registers a section of the status, such as {@code upstreams}. */
    public void register(String name, StatusSection section) {
        if (sections.putIfAbsent(name, section) != null) {
            throw new IllegalArgumentException("status section '" + name + "' exists already; register each once");
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        OperatorAnswer answer = answer(request, path.substring(PREFIX.length()));
        response.setStatus(answer.status());
        if (answer.status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        // An answer may hold a new key, which no cache may keep.
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        Content.Sink.write(response, true, answer.body().toString() + "\n", callback);
        return true;
    }

    private OperatorAnswer answer(Request request, String path) throws IOException {
        try {
            authenticate(request);
            OperatorRequest parsed = parse(request, path);
            OperatorResource resource = resources.get(parsed.collection());
            if (resource == null) {
                throw OperatorAnswers.noSuchPath(parsed);
            }
            return resource.answer(parsed);
        } catch (OperatorRefusalException refusal) {
            return refusal.answer();
        } catch (InvalidDocumentException invalid) {
            return OperatorAnswers.invalid(invalid.problems());
        } catch (ConfigurationConflictException conflict) {
            return OperatorAnswers.conflict(conflict);
        } catch (ConfigurationNotWrittenException failure) {
            return refusal(HttpStatus.SERVICE_UNAVAILABLE_503, "not_written", failure, true);
        } catch (ConfigurationOutcomeUnknownException failure) {
            return refusal(HttpStatus.BAD_GATEWAY_502, "outcome_unknown", failure, false);
        }
    }

    private static OperatorAnswer refusal(int status, String type, Exception failure, boolean notRun) {
        return new OperatorRefusalException(status, type, failure.getMessage(), notRun).answer();
    }

    private void authenticate(Request request) throws OperatorRefusalException {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        String presented = header != null && header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                ? header.substring(SCHEME.length()).strip()
                : "";
        if (!token.matches(presented)) {
            throw new OperatorRefusalException(
                    HttpStatus.UNAUTHORIZED_401, "not_authorized", "the operator's token is missing or wrong");
        }
    }

    private static OperatorRequest parse(Request request, String path) throws IOException, OperatorRefusalException {
        Fields query = Request.extractQueryParameters(request, StandardCharsets.UTF_8);
        byte[] body;
        try (InputStream input = Content.Source.asInputStream(request)) {
            body = input.readNBytes(MAXIMUM_BODY_BYTES + 1);
        }
        if (body.length > MAXIMUM_BODY_BYTES) {
            throw new OperatorRefusalException(
                    HttpStatus.PAYLOAD_TOO_LARGE_413,
                    "body_too_large",
                    "the body has over " + MAXIMUM_BODY_BYTES + " bytes; send one entry at a time");
        }
        return new OperatorRequest(
                request.getMethod(),
                List.of(path.split("/")),
                Optional.ofNullable(query.getValue("basedOn")),
                Optional.ofNullable(query.getValue("account")),
                body);
    }

    private OperatorAnswer roster(OperatorRequest request) throws OperatorRefusalException {
        if (!request.is("GET", 1)) {
            throw OperatorAnswers.noSuchPath(request);
        }
        Configuration configuration = editor.current();
        ObjectNode body = OperatorAnswers.withRevision(configuration.revision());
        ArrayNode members = body.putArray("roster");
        configuration.roster().stream().sorted().forEach(vm -> members.add(vm.value()));
        return new OperatorAnswer(HttpStatus.OK_200, body);
    }

    private OperatorAnswer status(OperatorRequest request) throws OperatorRefusalException {
        if (request.is("GET", 1)) {
            ObjectNode body = OperatorAnswers.withRevision(editor.current().revision());
            ArrayNode names = body.putArray("sections");
            sections.keySet().forEach(names::add);
            return new OperatorAnswer(HttpStatus.OK_200, body);
        }
        if (request.is("GET", 2) && sections.containsKey(request.path().get(1))) {
            return new OperatorAnswer(
                    HttpStatus.OK_200, sections.get(request.path().get(1)).read());
        }
        throw OperatorAnswers.noSuchPath(request);
    }
}
