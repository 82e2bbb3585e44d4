package io.banyantally.internal.adapter;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that reports a reset as a failure and limits the bytes of a response beside its content. Jetty handles a
 * reset like an orderly end of stream, so a truncated response without a length would look complete; and it reads
 * interim responses, blank lines, chunk extensions and trailers without limit.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

    /**
     * For the headers, interim responses and trailers of one response: twice the client's limit for response headers.
     */
    private static final int MAXIMUM_OVERHEAD_BYTES = 64 * 1024;

    /** The selector's thread closes the channel within milliseconds, and later only if it gets no processor time. */
    private static final Duration RESET_LIMIT = Duration.ofMillis(200);

    private static final Duration RESET_CHECK_INTERVAL = Duration.ofNanos(200_000);

    /** A chunk with one byte of content has six bytes. */
    private static final int BYTES_PER_CONTENT_BYTE = 6;

    /** A reset that the other side's close causes follows the end of its stream within a round trip. */
    private static final long RESET_DELAY_MILLIS = 20;

    private static final long RESET_CHECK_LIMIT_MILLIS = 1000;

    private static final EventLog LOG = EventLog.of(ResetAwareEndPoint.class);

    private final AtomicLong remainingBytes = new AtomicLong(MAXIMUM_OVERHEAD_BYTES);
    private final AtomicInteger requests = new AtomicInteger();
    private volatile boolean failed;
    private volatile boolean endOfStreamRead;
    private volatile boolean resetOnClose;
    private volatile boolean endsResponse;
    private final CompletableFuture<Boolean> resetAfterEnd = new CompletableFuture<>();

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns the end point of a connection of the HTTP client; empty if it is of another type. */
    static Optional<ResetAwareEndPoint> of(Object connection) {
        return connection instanceof Connection jettyConnection
                        && jettyConnection.getEndPoint() instanceof ResetAwareEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }

    /** Resets the limit before a new request is sent; returns how many were sent on the connection before. */
    int beginRequest() {
        remainingBytes.set(MAXIMUM_OVERHEAD_BYTES);
        return requests.getAndIncrement();
    }

    /** Sets whether closing the connection resets it and discards what it has not delivered. */
    void setResetOnClose(boolean reset) {
        resetOnClose = reset;
        try {
            getChannel().setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : -1);
        } catch (IOException closed) {
            LOG.warn(
                    "reset_on_close_not_set",
                    EventField.of("reset", reset),
                    EventField.of("reason", closed.toString()));
        }
    }

    /** Waits until a closed connection is reset, since the channel is closed by the selector's thread. */
    void awaitReset() {
        long until = System.nanoTime() + RESET_LIMIT.toNanos();
        while (resetOnClose
                && (getChannel().isOpen() || getChannel().isRegistered())
                && System.nanoTime() - until < 0) {
            LockSupport.parkNanos(RESET_CHECK_INTERVAL.toNanos());
        }
    }

    /** An end of the output before the reset would make the receiver take the request for complete. */
    @Override
    protected void doShutdownOutput() {
        if (!resetOnClose) {
            super.doShutdownOutput();
        }
    }

    /** Raises the limit after content was read. */
    void contentRead(int bytes) {
        remainingBytes.addAndGet((long) bytes * BYTES_PER_CONTENT_BYTE);
    }

    /** Keeps the connection after the end of its stream until a reset would have arrived. */
    void expectEndOfResponse() {
        endsResponse = true;
    }

    /**
     * Returns whether the other side has ended the connection, with no failed read or write before and no reset after
     * it: a close with unread bytes of the request may first end the stream.
     */
    boolean hasEndedOrderly() throws InterruptedException {
        if (!endOfStreamRead || failed) {
            return false;
        }
        if (!endsResponse) {
            return true;
        }
        try {
            return !resetAfterEnd.get(RESET_CHECK_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException unknown) {
            return false;
        }
    }

    private void checkForReset() {
        boolean reset = true;
        try (Selector selector = Selector.open()) {
            // A connected channel is selected for a connect operation if it has an error pending.
            getChannel().register(selector, SelectionKey.OP_CONNECT);
            reset = selector.selectNow() > 0;
        } catch (IOException closed) {
            LOG.warn("reset_unknown", EventField.of("reason", closed.toString()));
        } finally {
            resetAfterEnd.complete(reset);
        }
    }

    /** Returns whether an idle connection has received bytes that belong to no request, or has ended. */
    boolean hasUnexpectedInput() {
        try {
            return getChannel().read(ByteBuffer.allocate(1)) != 0;
        } catch (IOException reset) {
            return true;
        }
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = getChannel().read(buffer);
            if (filled > 0) {
                notIdle();
                if (remainingBytes.addAndGet(-filled) < 0) {
                    throw new IOException(
                            "the response has more than " + MAXIMUM_OVERHEAD_BYTES + " bytes beside its content");
                }
            } else if (filled < 0) {
                endOfStreamRead = true;
                if (endsResponse) {
                    var _ = getScheduler().schedule(this::checkForReset, RESET_DELAY_MILLIS, TimeUnit.MILLISECONDS);
                }
                shutdownInput();
            }
            return filled;
        } catch (IOException failure) {
            failed = true;
            throw failure;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    @Override
    public void doClose() {
        if (endsResponse && endOfStreamRead) {
            var _ = resetAfterEnd.whenComplete((_, _) -> closeChannel());
        } else {
            closeChannel();
        }
    }

    private void closeChannel() {
        super.doClose();
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        try {
            return super.flush(buffers);
        } catch (IOException failure) {
            failed = true;
            throw failure;
        }
    }
}
