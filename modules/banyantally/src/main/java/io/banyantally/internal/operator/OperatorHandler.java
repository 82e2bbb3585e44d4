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
 * Handles the operators' HTTP interface under {@code /operator/v1/}. Every request must carry the operator's token.
 * Blocks the calling thread, so it must run on virtual threads.
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
                "services", new ConfigurationEntryResource<>(ConfigurationEntryKind.services(), editor),
                "accounts", new ConfigurationEntryResource<>(ConfigurationEntryKind.accounts(), editor),
                "keys", new KeyResource(editor, keys),
                "roster", this::roster,
                "status", this::status);
    }

    /** Registers a section of the status under a unique name, such as {@code upstreams}. */
    public void register(String name, StatusSection section) {
        if (sections.putIfAbsent(name, section) != null) {
            throw new IllegalArgumentException(
                    "status section '" + name + "' is already registered; register each section once");
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws IOException {
        String path = Request.getPathInContext(request);
        if (!path.startsWith(PREFIX)) {
            return false;
        }
        OperatorResponse operatorResponse = respond(request, path.substring(PREFIX.length()));
        response.setStatus(operatorResponse.status());
        if (operatorResponse.status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        // A response may contain a new key, which must not be cached.
        response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
        Content.Sink.write(response, true, operatorResponse.body().toString() + "\n", callback);
        return true;
    }

    private OperatorResponse respond(Request request, String path) throws IOException {
        try {
            authenticate(request);
            OperatorRequest parsed = parse(request, path);
            OperatorResource resource = resources.get(parsed.collection());
            if (resource == null) {
                throw OperatorResponses.noSuchPath(parsed);
            }
            return resource.handle(parsed);
        } catch (OperatorRefusalException refusal) {
            return refusal.toResponse();
        } catch (InvalidDocumentException invalid) {
            return OperatorResponses.invalid(invalid.problems());
        } catch (ConfigurationConflictException conflict) {
            return OperatorResponses.conflict(conflict);
        } catch (ConfigurationNotWrittenException failure) {
            return refusal(HttpStatus.SERVICE_UNAVAILABLE_503, "not_written", failure, true);
        } catch (ConfigurationOutcomeUnknownException failure) {
            return refusal(HttpStatus.BAD_GATEWAY_502, "outcome_unknown", failure, false);
        }
    }

    private static OperatorResponse refusal(int status, String type, Exception failure, boolean notRun) {
        return new OperatorRefusalException(status, type, failure.getMessage(), notRun).toResponse();
    }

    private void authenticate(Request request) throws OperatorRefusalException {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        String presented = header != null && header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                ? header.substring(SCHEME.length()).strip()
                : "";
        if (!token.matches(presented)) {
            throw new OperatorRefusalException(
                    HttpStatus.UNAUTHORIZED_401, "not_authorized", "the operator's token is missing or invalid");
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
                    "the body is larger than " + MAXIMUM_BODY_BYTES + " bytes; send one entry per request");
        }
        return new OperatorRequest(
                request.getMethod(),
                List.of(path.split("/")),
                Optional.ofNullable(query.getValue("basedOn")),
                Optional.ofNullable(query.getValue("account")),
                body);
    }

    private OperatorResponse roster(OperatorRequest request) throws OperatorRefusalException {
        if (!request.is("GET", 1)) {
            throw OperatorResponses.noSuchPath(request);
        }
        Configuration configuration = editor.current();
        ObjectNode body = OperatorResponses.withRevision(configuration.revision());
        ArrayNode members = body.putArray("roster");
        configuration.roster().stream().sorted().forEach(vm -> members.add(vm.value()));
        return new OperatorResponse(HttpStatus.OK_200, body);
    }

    private OperatorResponse status(OperatorRequest request) throws OperatorRefusalException {
        if (request.is("GET", 1)) {
            ObjectNode body = OperatorResponses.withRevision(editor.current().revision());
            ArrayNode names = body.putArray("sections");
            sections.keySet().forEach(names::add);
            return new OperatorResponse(HttpStatus.OK_200, body);
        }
        if (request.is("GET", 2) && sections.containsKey(request.path().get(1))) {
            return new OperatorResponse(
                    HttpStatus.OK_200, sections.get(request.path().get(1)).read());
        }
        throw OperatorResponses.noSuchPath(request);
    }
}
