package io.banyantally.internal.forwarding;

import io.banyantally.upstream.HeaderField;
import java.io.ByteArrayOutputStream;
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
import org.eclipse.jetty.util.BufferUtil;

/** One request of a caller and its answer, with blocking reads and writes. */
final class CallerExchange {

    /** A longer body costs more to read than the new connection that its caller needs otherwise. */
    private static final int MOST_DISCARDED_BYTES = 64 * 1024;

    /** A colon, a space and the end of the line. */
    private static final int FIELD_SEPARATOR_BYTES = 4;

    private final Request request;
    private final Response response;
    private volatile Optional<Runnable> whenGone = Optional.empty();
    private volatile boolean wholeRequestRead;
    private volatile boolean gone;
    private volatile String attempt = "unread";

    CallerExchange(Request request, Response response) {
        this.request = request;
        this.response = response;
    }

    /** Sets the id under which logs name the request. */
    void setAttempt(String id) {
        attempt = id;
    }

    /** Returns the id under which logs name the request. */
    String attempt() {
        return attempt;
    }

    String method() {
        return request.getMethod();
    }

    String host() {
        String host = request.getHeaders().get(HttpHeader.HOST);
        return host == null ? "" : host;
    }

    /** Returns the length of the request line and the headers, with the separators that they need at least. */
    int headBytes() {
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
     * Reads the whole body, at most until a moment in monotonic nanoseconds; empty if it is larger than the limit.
     *
     * @throws BodyTimeoutException if the body has not ended by then
     */
    Optional<byte[]> readBody(int maximumBytes, long deadline)
            throws IOException, BodyTimeoutException, InterruptedException {
        if (request.getLength() > maximumBytes) {
            return Optional.empty();
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (!wholeRequestRead) {
            Content.Chunk chunk = awaitChunk(deadline);
            if (Content.Chunk.isFailure(chunk)) {
                throw new IOException("the request cannot be read", chunk.getFailure());
            }
            body.writeBytes(BufferUtil.toArray(chunk.getByteBuffer()));
            wholeRequestRead = chunk.isLast();
            chunk.release();
            if (body.size() > maximumBytes) {
                wholeRequestRead = false;
                return Optional.empty();
            }
        }
        return Optional.of(body.toByteArray());
    }

    private Content.Chunk awaitChunk(long deadline) throws BodyTimeoutException, InterruptedException {
        for (Content.Chunk chunk = request.read(); ; chunk = request.read()) {
            if (chunk != null) {
                return chunk;
            }
            CountDownLatch arrived = new CountDownLatch(1);
            request.demand(arrived::countDown);
            if (!arrived.await(deadline - System.nanoTime(), TimeUnit.NANOSECONDS)) {
                throw new BodyTimeoutException();
            }
        }
    }

    /** Discards a body that nobody reads, as far as it has arrived; returns whether that was all of it. */
    boolean discardBody() {
        long discarded = 0;
        while (!wholeRequestRead && discarded < MOST_DISCARDED_BYTES) {
            Content.Chunk chunk = request.read();
            if (chunk == null || Content.Chunk.isFailure(chunk)) {
                return false;
            }
            discarded += chunk.remaining();
            wholeRequestRead = chunk.isLast();
            chunk.release();
        }
        return wholeRequestRead;
    }

    /** Sends a whole answer. */
    void answer(int status, List<HeaderField> headers, byte[] body) throws IOException {
        begin(status, headers);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream output = Content.Sink.asOutputStream(response)) {
            output.write(body);
        }
    }

    /** Starts an answer whose body is written piece by piece. */
    OutputStream startAnswer(int status, List<HeaderField> headers) {
        begin(status, headers);
        // Without chunks an answer would end with its connection, and one that is cut would look complete.
        response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        return Content.Sink.asOutputStream(response);
    }

    private void begin(int status, List<HeaderField> headers) {
        response.setStatus(status);
        headers.forEach(field -> response.getHeaders().add(field.name(), field.value()));
    }

    /** Asks the caller to open another connection for its next request. */
    void closeAfterAnswer() {
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }

    boolean isCommitted() {
        return response.isCommitted();
    }

    /** Sets what to do when the caller leaves; runs it at once if the caller has left. */
    void whenGone(Runnable action) {
        whenGone = Optional.of(action);
        if (gone) {
            action.run();
        }
    }

    /** Forgets what to do when the caller leaves. */
    void clearWhenGone() {
        whenGone = Optional.empty();
    }

    boolean isGone() {
        return gone;
    }

    /** Looks whether the caller has left. */
    void probe() {
        if (gone || !wholeRequestRead) {
            return;
        }
        EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
        if (endPoint instanceof ProbingEndPoint probing && probing.isClosedByCaller()) {
            gone = true;
            whenGone.ifPresent(Runnable::run);
        }
    }
}
