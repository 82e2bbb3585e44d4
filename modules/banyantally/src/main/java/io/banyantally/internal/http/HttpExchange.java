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

/** A caller's request and its response, with blocking reads and writes. */
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

    /** Returns the path and query as sent by the caller, not decoded. */
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

    /** Reads the whole body, up to the limit. */
    byte[] body() throws IOException, RequestFailedException {
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

    private RequestFailedException bodyTooLarge() {
        return RequestFailedException.notRun(
                ErrorType.BODY_TOO_LARGE, "the body is larger than " + maximumBodyBytes + " bytes");
    }

    boolean isCommitted() {
        return response.isCommitted();
    }

    void setHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Sends a complete response with its length. */
    void send(int status, String contentType, byte[] body) throws IOException {
        response.setStatus(status);
        setHeader(HttpHeader.CONTENT_TYPE.asString(), contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream output = Content.Sink.asOutputStream(response)) {
            output.write(body);
        }
    }

    void sendJson(int status, JsonNode body) throws IOException {
        send(status, "application/json", toBytes(body));
    }

    void sendText(int status, String text) throws IOException {
        send(status, "text/plain;charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Reads and discards the rest of the body, up to the limit, so that the connection can be reused. Returns false if
     * the body is not fully read.
     */
    private boolean readRestOfBody() {
        if (request.getLength() > maximumBodyBytes) {
            return false;
        }
        try {
            // Not closed, since closing the stream before the end of the body fails the request.
            InputStream input = Content.Source.asInputStream(request);
            return input.readNBytes(maximumBodyBytes + 1).length <= maximumBodyBytes;
        } catch (IOException incomplete) {
            return false;
        }
    }

    /** Sends a typed error. Call it only if no part of the response has been sent. */
    void sendError(RequestFailedException failure) throws IOException {
        failure.retryAfter()
                .ifPresent(after ->
                        setHeader(HttpHeader.RETRY_AFTER.asString(), Long.toString(ErrorBody.secondsRoundedUp(after))));
        if (failure.type() == ErrorType.INVALID_KEY) {
            setHeader(HttpHeader.WWW_AUTHENTICATE.asString(), "Bearer");
        }
        if (failure.type() == ErrorType.DRAINING || failure.type() == ErrorType.BODY_TOO_LARGE || !readRestOfBody()) {
            setHeader(HttpHeader.CONNECTION.asString(), "close");
        }
        sendJson(failure.type().status(), ErrorBody.of(failure));
    }

    /** Starts a response with a streamed body. */
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
            throw new IllegalStateException("unexpected failure to serialise a JSON tree", impossible);
        }
    }

    static JsonNode parseJson(byte[] body) throws RequestFailedException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw RequestFailedException.notRun(ErrorType.MALFORMED_JSON, "the body is not a JSON object");
            }
            return node;
        } catch (IOException malformed) {
            throw RequestFailedException.notRun(ErrorType.MALFORMED_JSON, "the body is not valid JSON");
        }
    }
}
