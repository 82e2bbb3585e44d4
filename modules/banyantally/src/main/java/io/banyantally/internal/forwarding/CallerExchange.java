package io.banyantally.internal.forwarding;

import io.banyantally.upstream.HeaderField;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** One request of a caller and its response, with blocking reads and writes. */
final class CallerExchange {

    /** Reading a longer unused body costs more than a new connection of its caller. */
    private static final int MAXIMUM_DISCARDED_BYTES = 64 * 1024;

    /** A colon, a space, and the CRLF at the end of the line. */
    private static final int FIELD_SEPARATOR_BYTES = 4;

    private final Request request;
    private final Response response;
    private volatile Optional<Runnable> disconnectAction = Optional.empty();
    private volatile boolean requestFullyRead;
    private volatile boolean disconnected;
    private volatile String attemptId = "unread";

    CallerExchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Sets the attempt id that identifies the request in logs. */
    void setAttemptId(String id) {
        attemptId = id;
    }

    String attemptId() {
        return attemptId;
    }

    String method() {
        return request.getMethod();
    }

    String host() {
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host == null ? "" : host;
    }

    /** Returns the length of the request line and the headers in bytes, counting the shortest possible separators. */
    int headerBytes() {
        int bytes = method().length() + target().length();
        for (HttpField field : request.getHeaders()) {
            bytes += field.getName().length() + FIELD_SEPARATOR_BYTES;
            bytes += field.getValue() == null ? 0 : field.getValue().length();
        }
        return bytes;
    }

    /** Returns the path as the caller sent it, without the query. */
    String path() {
        String path = request.getHttpURI().getPath();
        return path == null ? "" : path;
    }

    /** Returns the path and query as the caller sent them. */
    String target() {
        return request.getHttpURI().getPathQuery();
    }

    List<HeaderField> headers() {
        return request.getHeaders().stream()
                .map(field -> new HeaderField(field.getName(), field.getValue()))
                .toList();
    }

    /**
     * Reads the whole body, until {@code deadlineNanos}, a monotonic time; empty if it is larger than the limit.
     *
     * @throws BodyTimeoutException if the body is not complete by then
     * @throws BufferMemoryException if there is no memory for the body
     */
    Optional<byte[]> readBody(BufferMemory.Reservation memory, int maximumBytes, long deadlineNanos)
            throws IOException, BodyTimeoutException, BufferMemoryException, InterruptedException {
        if (request.getLength() > maximumBytes) {
            return Optional.empty();
        }
        BodyBuffer body = new BodyBuffer(memory);
        while (!requestFullyRead) {
            Content.Chunk chunk = awaitChunk(deadlineNanos);
            if (Content.Chunk.isFailure(chunk)) {
                throw new IOException("reading the request body failed", chunk.getFailure());
            }
            try {
                body.write(chunk.getByteBuffer());
            } finally {
                chunk.release();
            }
            requestFullyRead = chunk.isLast();
            if (body.size() > maximumBytes) {
                requestFullyRead = false;
                return Optional.empty();
            }
        }
        return Optional.of(body.takeBytes());
    }

    private Content.Chunk awaitChunk(long deadlineNanos) throws BodyTimeoutException, InterruptedException {
        for (Content.Chunk chunk = request.read(); ; chunk = request.read()) {
            if (chunk != null) {
                return chunk;
            }
            CountDownLatch arrived = new CountDownLatch(1);
            request.demand(arrived::countDown);
            if (!arrived.await(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                throw new BodyTimeoutException();
            }
        }
    }

    /** Discards the part of an unread body that has arrived; returns whether that was all of it. */
    boolean discardBody() {
        long discarded = 0;
        while (!requestFullyRead && discarded < MAXIMUM_DISCARDED_BYTES) {
            Content.Chunk chunk = request.read();
            if (chunk == null || Content.Chunk.isFailure(chunk)) {
                return false;
            }
            discarded += chunk.remaining();
            requestFullyRead = chunk.isLast();
            chunk.release();
        }
        return requestFullyRead;
    }

    void respond(int status, List<HeaderField> headers, byte[] body) throws IOException {
        setStatusAndHeaders(status, headers);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream output = Content.Sink.asOutputStream(response)) {
            output.write(body);
        }
    }

    /** Starts a chunked response and returns the stream to write its body to. */
    OutputStream startResponse(int status, List<HeaderField> headers) {
        setStatusAndHeaders(status, headers);
        // Without chunks the close of the connection would end the body, and a truncated response would look complete.
        response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        return Content.Sink.asOutputStream(response);
    }

    private void setStatusAndHeaders(int status, List<HeaderField> headers) {
        response.setStatus(status);
        headers.forEach(field -> response.getHeaders().add(field.name(), field.value()));
    }

    /** Closes the connection after the response, so that the caller opens another one for its next request. */
    void closeAfterResponse() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    boolean isCommitted() {
        return response.isCommitted();
    }

    /** Sets the action to run when the caller disconnects; runs it at once if the caller already has. */
    void onDisconnect(Runnable action) {
        disconnectAction = Optional.of(action);
        if (disconnected) {
            action.run();
        }
    }

    void clearDisconnectAction() {
        disconnectAction = Optional.empty();
    }

    boolean isDisconnected() {
        return disconnected;
    }

    /** Runs the disconnect action if the caller has disconnected. Does nothing until the request is read completely. */
    void probeConnection() {
        if (disconnected || !requestFullyRead) {
            return;
        }
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint instanceof ProbingEndPoint probing && probing.isClosedByCaller()) {
            disconnected = true;
            disconnectAction.ifPresent(Runnable::run);
        }
    }
}
