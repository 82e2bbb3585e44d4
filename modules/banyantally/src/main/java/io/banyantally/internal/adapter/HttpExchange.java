package io.banyantally.internal.adapter;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.upstream.HeaderField;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.InputStreamResponseListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;

/** An HTTP request in progress. Closing it before the end of the response closes the connection. */
public final class HttpExchange implements AutoCloseable {

    private static final int BUFFER_BYTES = 8192;

    /** How long a request may still be sent after a response that ends with its connection. */
    private static final Duration REQUEST_END_TIMEOUT = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(HttpExchange.class);

    private final HttpCall call;
    private final Request request;
    private final InputStreamResponseListener listener = new InputStreamResponseListener();
    private final AtomicBoolean sendStarted = new AtomicBoolean();
    private volatile Optional<ResetAwareEndPoint> endPoint = Optional.empty();
    private volatile int earlierRequests;
    private volatile Optional<Head> head = Optional.empty();
    private Connection connection;
    private Response response;
    private boolean complete;

    HttpExchange(HttpCall call, Request request) {
        this.call = call;
        this.request = request;
        // Runs before the first byte is written, so a request that fails earlier was certainly not sent.
        request.onRequestBegin(started -> {
            // A request with its own connection has asked once the connection was open.
            if (!call.ownConnection() && !call.permission().isGranted()) {
                abort(new NothingSentException(call + " was not sent: the send permission was denied"));
                return;
            }
            sendStarted.set(true);
            endPoint = ResetAwareEndPoint.of(started.getConnection());
            endPoint.ifPresent(connected -> earlierRequests = connected.beginRequest());
        });
        request.onResponseHeaders(this::receiveHead);
    }

    /** Closes the connection of a response that belongs to another request, before it can return to the pool. */
    private void receiveHead(Response received) {
        if (head.isPresent()) {
            return;
        }
        Head first = new Head(received.getStatus(), headerFields(received));
        head = Optional.of(first);
        if (FinalStatus.isValid(first.status())) {
            if (call.body().length > 0 && !hasDelimitedBody(received)) {
                endPoint.ifPresent(ResetAwareEndPoint::expectEndOfResponse);
            }
            call.responseCheck().mismatch(first.headers()).ifPresent(reason -> {
                CompletableFuture<Boolean> _ = received.abort(new ForeignResponseException(call, reason));
            });
        }
    }

    InputStreamResponseListener listener() {
        return listener;
    }

    void setOwnConnection(Connection ownConnection) {
        connection = ownConnection;
    }

    /** Returns whether the request was sent on a connection that had carried another one. */
    public boolean usesKeptConnection() {
        return earlierRequests > 0;
    }

    /** Waits for the response headers, at most for the time limit of the request. */
    public void awaitHeaders() throws ExchangeException, InterruptedException {
        try {
            response = listener.get(call.timeLimit().toNanos(), TimeUnit.NANOSECONDS);
        } catch (ExecutionException failure) {
            throw failed("failed", failure.getCause());
        } catch (TimeoutException failure) {
            abort(failure);
            throw failed("timed out waiting for a response", failure);
        }
        if (!FinalStatus.isValid(status())) {
            closeConnection();
            throw FinalStatus.failure(call, status());
        }
        Optional<String> mismatch = call.responseCheck().mismatch(headers());
        if (mismatch.isPresent()) {
            throw new ForeignResponseException(call, mismatch.get());
        }
    }

    /** Closes the connection after a response that Jetty takes for complete, so that it does not return to the pool. */
    private void closeConnection() {
        Connection used = request.getConnection();
        if (used != null) {
            used.close();
        }
    }

    /** Returns the status code of the response; valid after {@link #awaitHeaders}. */
    public int status() {
        return head.orElseThrow().status();
    }

    /** Returns the headers of the response; valid after {@link #awaitHeaders}. */
    public List<HeaderField> headers() {
        return head.orElseThrow().headers();
    }

    private static List<HeaderField> headerFields(Response received) {
        return received.getHeaders().stream()
                .map(field -> new HeaderField(field.getName(), field.getValue()))
                .toList();
    }

    /** Returns the response body as a stream; at most one network buffer is held for a slow reader. */
    public InputStream body() {
        return new CountingInputStream(listener.getInputStream());
    }

    /**
     * Waits for the end of a response whose content was read, so that a pooled connection is back in the pool before
     * the next request. If the response does not end within {@code limit}, the connection is closed.
     */
    public void finish(Duration limit) throws InterruptedException {
        try {
            listener.await(limit.toNanos(), TimeUnit.NANOSECONDS);
            complete = true;
        } catch (TimeoutException failure) {
            abort(failure);
        }
    }

    /** Reads the rest of the response, whose body has at most {@code maximumBytes}. */
    public HttpReply readWhole(int maximumBytes) throws ExchangeException, InterruptedException {
        if (response == null) {
            awaitHeaders();
        }
        if (!hasDelimitedBody(response)) {
            throw new IncompleteResponseException(
                    call + ": the response has neither Content-Length nor chunked encoding, so its end is unknown");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream body = body()) {
            for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
                if (bytes.size() + count > maximumBytes) {
                    throw new IncompleteResponseException(
                            call + ": the response is longer than the " + maximumBytes + " bytes allowed");
                }
                bytes.write(buffer, 0, count);
            }
        } catch (InterruptedIOException interrupted) {
            throw toInterruptedException(interrupted);
        } catch (IOException failure) {
            throw new IncompleteResponseException(call + ": the response was interrupted", failure);
        }
        finish(call.timeLimit());
        return new HttpReply(status(), headers(), bytes.toByteArray());
    }

    private boolean hasDelimitedBody(Response received) {
        return request.getMethod().equals("HEAD")
                || status() == HttpStatus.NO_CONTENT_204
                || status() == HttpStatus.NOT_MODIFIED_304
                || received.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || received.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }

    /**
     * Throws if a response that ends with its connection may be incomplete. The kernel reports a reset once: if it has
     * failed a write of the request, the next read returns the end of the stream.
     */
    private void checkEndOfConnection() throws IOException {
        try {
            Result result = listener.await(REQUEST_END_TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
            if (result.isFailed()) {
                throw new IOException(call + ": the request was not sent whole", result.getFailure());
            }
            if (endPoint.isEmpty() || !endPoint.get().hasEndedOrderly()) {
                throw new IOException(call + ": the connection did not end orderly");
            }
        } catch (TimeoutException pending) {
            throw new IOException(call + ": the connection ended while the request was being sent", pending);
        } catch (InterruptedException interrupted) {
            throw new InterruptedIOException("interrupted at the end of a response");
        }
    }

    private ExchangeException failed(String what, Throwable cause) {
        if (cause instanceof ForeignResponseException foreign) {
            return foreign;
        }
        return sendStarted.get()
                ? new IncompleteResponseException(call + ": " + what, cause)
                : new NothingSentException(call + ": " + what + " before the request was sent", cause);
    }

    private void abort(Throwable cause) {
        CompletableFuture<Boolean> _ = request.abort(cause);
    }

    static InterruptedException toInterruptedException(InterruptedIOException cause) {
        InterruptedException interrupted = new InterruptedException("interrupted while reading a response");
        interrupted.initCause(cause);
        return interrupted;
    }

    @Override
    public void close() {
        if (!complete) {
            abort(new IOException(call + " was abandoned"));
        }
        if (connection != null) {
            connection.close();
            endPoint.ifPresent(ResetAwareEndPoint::awaitReset);
        }
    }

    /** The status and headers as received; Jetty replaces the status when further bytes are no valid response. */
    private record Head(int status, List<HeaderField> headers) {}

    /** Reports the number of content bytes to the connection, which limits the other bytes of a response. */
    private final class CountingInputStream extends FilterInputStream {

        /** Bytes of the announced length that were not read; negative without such a length. */
        private long unreadBytes = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);

        CountingInputStream(InputStream content) {
            super(content);
        }

        @Override
        public int read() throws IOException {
            byte[] next = new byte[1];
            return read(next, 0, 1) < 0 ? -1 : next[0] & 0xFF;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = readOrEnd(bytes, offset, length);
            if (count < 0 && !hasDelimitedBody(response)) {
                checkEndOfConnection();
            }
            if (count > 0) {
                unreadBytes -= count;
                endPoint.ifPresent(connected -> connected.contentRead(count));
            }
            return count;
        }

        /**
         * Jetty may fail while it looks for the end of a response behind whose content further bytes follow; the response
         * is complete, but its connection is not usable.
         */
        private int readOrEnd(byte[] bytes, int offset, int length) throws IOException {
            try {
                return super.read(bytes, offset, length);
            } catch (InterruptedIOException interrupted) {
                throw interrupted;
            } catch (IOException | AssertionError failure) {
                if (unreadBytes != 0) {
                    throw failure;
                }
                LOG.warn(
                        "response_end_unclear",
                        EventField.of("call", call),
                        EventField.of("detail", String.valueOf(failure)));
                closeConnection();
                return -1;
            }
        }
    }
}
