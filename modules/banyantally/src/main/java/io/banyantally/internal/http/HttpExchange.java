package io.banyantally.internal.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** One request of a caller and its response, with blocking reads and writes. */
final class HttpExchange {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Request request;
    private final Response response;
    private final int maximumBodyBytes;

    HttpExchange(Request request, Response response, int maximumBodyBytes) {
        this.request = request;
        this.response = response;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    String method() {
        return request.getMethod();
    }

    /** Returns the decoded path. */
    String path() {
        return Request.getPathInContext(request);
    }

    /** Returns the path and query as the caller sent them. */
    String rawPathAndQuery() {
        return request.getHttpURI().getPathQuery();
    }

    Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    Optional<String> authorization() {
        return header(HttpHeader.AUTHORIZATION.asString());
    }

    Request request() {
        return request;
    }

    Optional<String> queryParameter(String name) {
        return Optional.ofNullable(Request.extractQueryParameters(request).getValue(name));
    }

    /** Reads the whole body, within the limit. */
    byte[] body() throws IOException, RequestRefusedException {
        if (request.getLength() > maximumBodyBytes) {
            throw bodyTooLarge();
        }
        try (InputStream input = Content.Source.asInputStream(request)) {
            byte[] body = input.readNBytes(maximumBodyBytes + 1);
            if (body.length > maximumBodyBytes) {
                throw bodyTooLarge();
            }
            return body;
        }
    }

    private RequestRefusedException bodyTooLarge() {
        return RequestRefusedException.notRun(
                ErrorType.BODY_TOO_LARGE, "the body is larger than " + maximumBodyBytes + " bytes");
    }

    boolean isCommitted() {
        return response.isCommitted();
    }

    void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Sends a whole response. */
    void send(int status, String contentType, byte[] body) throws IOException {
        response.setStatus(status);
        setHeader(HttpHeader.CONTENT_TYPE.asString(), contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream output = Content.Sink.asOutputStream(response)) {
            output.write(body);
        }
    }

    /** Sends a whole JSON response. */
    void sendJson(int status, JsonNode body) throws IOException {
        send(status, "application/json", toBytes(body));
    }

    /** Sends a whole text response. */
    void sendText(int status, String text) throws IOException {
        send(status, "text/plain;charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads what is left of the body, within the limit, so that the connection can be kept. Returns false if some is still
     * left.
     */
    private boolean readRestOfBody() {
        if (request.getLength() > maximumBodyBytes) {
            return false;
        }
        try {
            // Not closed: closing it before the end of the body makes the request fail.
            InputStream input = Content.Source.asInputStream(request);
            return input.readNBytes(maximumBodyBytes + 1).length <= maximumBodyBytes;
        } catch (IOException incomplete) {
            return false;
        }
    }

    /** Sends a typed error; call it only before anything else was sent. */
    void sendRefusal(RequestRefusedException refusal) throws IOException {
        refusal.retryAfter()
                .ifPresent(after ->
                        setHeader(HttpHeader.RETRY_AFTER.asString(), Long.toString(ErrorBody.wholeSeconds(after))));
        if (refusal.type() == ErrorType.INVALID_KEY) {
            setHeader(HttpHeader.WWW_AUTHENTICATE.asString(), "Bearer");
        }
        if (refusal.type() == ErrorType.DRAINING || refusal.type() == ErrorType.BODY_TOO_LARGE || !readRestOfBody()) {
            setHeader(HttpHeader.CONNECTION.asString(), "close");
        }
        sendJson(refusal.type().status(), ErrorBody.of(refusal));
    }

    /** Starts a response whose body is written piece by piece. */
    OutputStream startStream(String contentType) {
        response.setStatus(200);
        setHeader(HttpHeader.CONTENT_TYPE.asString(), contentType);
        setHeader(HttpHeader.CACHE_CONTROL.asString(), "no-store");
        return Content.Sink.asOutputStream(response);
    }

    static byte[] toBytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("cannot write a JSON tree", impossible);
        }
    }

    static JsonNode parseJson(byte[] body) throws RequestRefusedException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw RequestRefusedException.notRun(ErrorType.MALFORMED_JSON, "the body is not a JSON object");
            }
            return node;
        } catch (IOException malformed) {
            throw RequestRefusedException.notRun(ErrorType.MALFORMED_JSON, "the body is not valid JSON");
        }
    }
}
