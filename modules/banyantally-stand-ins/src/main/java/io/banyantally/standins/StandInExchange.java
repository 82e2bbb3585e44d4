package io.banyantally.standins;

import io.banyantally.internal.adapter.WireFormat;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** One request to a stand-in and its answer. */
public final class StandInExchange {

    private static final byte[] NO_BODY = new byte[0];

    private final Request request;
    private final Response response;
    private byte[] body;
    private long idleTimeoutMillis;

    StandInExchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Returns the method of the request. */
    public String method() {
        return request.getMethod();
    }

    /** Returns the path of the request without its query. */
    public String path() {
        return Request.getPathInContext(request);
    }

    /** Returns a query parameter; empty if the query lacks it. */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(Request.extractQueryParameters(request).getValue(name));
    }

    /** Returns a query parameter, and fails with a {@link BadRequestException} if the query lacks it. */
    public String requiredParameter(String name) throws BadRequestException {
        return parameter(name)
                .orElseThrow(() -> new BadRequestException("parameter '" + name + "' is missing from the query"));
    }

    /** Returns the first value of a header of the request. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    /** Passes every header field of the request to {@code consumer}. */
    public void forEachHeader(BiConsumer<String, String> consumer) {
        for (HttpField field : request.getHeaders()) {
            consumer.accept(field.getName(), field.getValue());
        }
    }

    /** Reads the whole body of the request. */
    public byte[] body() throws IOException {
        if (body == null) {
            try (InputStream input = Request.asInputStream(request)) {
                body = input.readAllBytes();
            }
        }
        return body.clone();
    }

    /** Decodes the JSON body of the request, and fails with a {@link BadRequestException} if it is not valid. */
    public <T> T body(Class<T> type) throws IOException, BadRequestException {
        byte[] bytes = body();
        try {
            return WireFormat.decode(bytes, type);
        } catch (IOException failure) {
            throw new BadRequestException("body is not a valid " + type.getSimpleName() + ": " + failure.getMessage());
        }
    }

    /** Sets a header of the answer. */
    public void answerHeader(String name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Sends a complete JSON answer. */
    public void answer(int status, Object message) throws IOException {
        answerBytes(status, "application/json", WireFormat.encode(message));
    }

    /** Sends an answer without a body. */
    public void answerEmpty(int status) throws IOException {
        answerBytes(status, "text/plain", NO_BODY);
    }

    /** Sends a complete answer. */
    public void answerBytes(int status, String contentType, byte[] bytes) throws IOException {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        Content.Sink.write(response, true, ByteBuffer.wrap(bytes));
    }

    /**
     * Starts a streamed answer and sends its headers. The idle timeout is off until its last part: it could otherwise expire
     * during a write that follows a long pause, and truncate the answer.
     */
    public void startStream(String contentType) throws IOException {
        idleTimeoutMillis = endPoint().getIdleTimeout();
        endPoint().setIdleTimeout(0);
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        Content.Sink.write(response, false, ByteBuffer.allocate(0));
    }

    /** Sends a part of a streamed answer at once, and ends the answer after the last one. */
    public void streamPart(byte[] part, boolean last) throws IOException {
        if (last) {
            endPoint().setIdleTimeout(idleTimeoutMillis);
        }
        Content.Sink.write(response, last, ByteBuffer.wrap(part));
    }

    private EndPoint endPoint() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Closes the connection without an answer, or in the middle of a streamed one. */
    public void dropConnection() {
        endPoint().close();
    }
}
