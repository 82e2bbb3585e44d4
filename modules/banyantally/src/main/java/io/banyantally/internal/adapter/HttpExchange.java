package io.banyantally.internal.adapter;

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
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;

/** One HTTP call on its way. Closing it before the end of the answer closes the connection. */
public final class HttpExchange implements AutoCloseable {

    private static final int COPY_BYTES = 8192;

    private final HttpCall call;
    private final Request request;
    private final InputStreamResponseListener listener = new InputStreamResponseListener();
    private final AtomicBoolean begun = new AtomicBoolean();
    private volatile Optional<ResetAwareEndPoint> endPoint = Optional.empty();
    private Connection connection;
    private Response response;
    private boolean whole;

    HttpExchange(HttpCall call, Request request) {
        this.call = call;
        this.request = request;
        // Fires before the first byte is written; what fails earlier certainly did not leave.
        request.onRequestBegin(started -> {
            begun.set(true);
            endPoint = ResetAwareEndPoint.of(started.getConnection());
            endPoint.ifPresent(ResetAwareEndPoint::beginAnswer);
        });
    }

    InputStreamResponseListener listener() {
        return listener;
    }

    void owns(Connection ownConnection) {
        connection = ownConnection;
    }

    /** Waits for the headers of the answer, at most the call's time limit. */
    public void awaitHeaders() throws ExchangeException, InterruptedException {
        try {
            response = listener.get(call.timeLimit().toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException failure) {
            throw failed("failed", failure.getCause());
        } catch (TimeoutException failure) {
            abort(failure);
            throw failed("no answer in time", failure);
        }
        if (HttpStatus.isInformational(status())) {
            closeConnection();
            throw new NoWholeReplyException(call + ": status " + status() + ", which is no final answer");
        }
    }

    /** For answers after which the HTTP library would use the connection again. */
    private void closeConnection() {
        Connection used = request.getConnection();
        if (used != null) {
            used.close();
        }
    }

    /** Returns the status of the answer. */
    public int status() {
        return response.getStatus();
    }

    /** Returns the headers of the answer. */
    public List<HeaderField> headers() {
        return response.getHeaders().stream()
                .map(field -> new HeaderField(field.getName(), field.getValue()))
                .toList();
    }

    /** The body of the answer as it comes; at most one network buffer is held for a slow reader. */
    public InputStream body() {
        return new CountedContent(listener.getInputStream());
    }

    /**
     * Waits for the end of an answer whose content was read, so that a pooled connection is back in the pool before the
     * next call. An answer that does not end within {@code limit} loses its connection.
     */
    public void finish(Duration limit) throws InterruptedException {
        try {
            listener.await(limit.toMillis(), TimeUnit.MILLISECONDS);
            whole = true;
        } catch (TimeoutException failure) {
            abort(failure);
        }
    }

    /** Reads the rest of the answer, of at most {@code maximumBytes}. */
    public HttpReply readWhole(int maximumBytes) throws ExchangeException, InterruptedException {
        if (response == null) {
            awaitHeaders();
        }
        if (!hasEnd()) {
            throw new NoWholeReplyException(call + ": the answer states neither a length nor chunks, so it has no end");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        byte[] buffer = new byte[COPY_BYTES];
        try (InputStream body = body()) {
            for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
                if (bytes.size() + count > maximumBytes) {
                    throw new NoWholeReplyException(
                            call + ": the answer is longer than the " + maximumBytes + " bytes allowed");
                }
                bytes.write(buffer, 0, count);
            }
        } catch (InterruptedIOException interrupted) {
            throw interruption(interrupted);
        } catch (IOException failure) {
            throw new NoWholeReplyException(call + ": the answer was cut", failure);
        }
        finish(call.timeLimit());
        return new HttpReply(status(), headers(), bytes.toByteArray());
    }

    private boolean hasEnd() {
        return request.getMethod().equals("HEAD")
                || status() == HttpStatus.NO_CONTENT_204
                || status() == HttpStatus.NOT_MODIFIED_304
                || response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    }

    private ExchangeException failed(String what, Throwable cause) {
        return begun.get()
                ? new NoWholeReplyException(call + ": " + what, cause)
                : new NothingSentException(call + ": " + what + " before it was sent", cause);
    }

    private void abort(Throwable cause) {
        CompletableFuture<Boolean> _ = request.abort(cause);
    }

    static InterruptedException interruption(InterruptedIOException cause) {
        InterruptedException interrupted = new InterruptedException("interrupted while reading an answer");
        interrupted.initCause(cause);
        return interrupted;
    }

    @Override
    public void close() {
        if (!whole) {
            abort(new IOException(call + " was given up"));
        }
        if (connection != null) {
            connection.close();
        }
    }

    /** Tells the connection how much of what came was content. */
    private final class CountedContent extends FilterInputStream {

        CountedContent(InputStream content) {
            super(content);
        }

        @Override
        public int read() throws IOException {
            int next = super.read();
            if (next >= 0) {
                endPoint.ifPresent(known -> known.contentRead(1));
            }
            return next;
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            int count = super.read(bytes, offset, length);
            if (count > 0) {
                endPoint.ifPresent(known -> known.contentRead(count));
            }
            return count;
        }
    }
}
