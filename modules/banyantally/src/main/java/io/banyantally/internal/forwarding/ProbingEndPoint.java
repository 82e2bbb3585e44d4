package io.banyantally.internal.forwarding;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.OptionalLong;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection that can tell whether the caller has closed it, and for how long a request header has been incomplete.
 * Jetty does not read while a request is handled, so it would notice a close only when it writes the response, and it
 * has no timeout for request headers.
 */
final class ProbingEndPoint extends SocketChannelEndPoint {

    private static final int PROBE_BYTES = 2048;

    /** Bytes of the next request that a probe has read; returned before further bytes are read. */
    private final ByteBuffer prefetched = BufferUtil.allocate(PROBE_BYTES);

    private boolean closedByCaller;
    private boolean handlingRequest;

    /** When the first byte of an incomplete request header arrived, in monotonic nanoseconds. */
    private OptionalLong headerStartedAt = OptionalLong.empty();

    ProbingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Returns whether the caller has closed the connection. Call it only after the current request was read completely.
     */
    boolean isClosedByCaller() {
        boolean closed = readAhead();
        if (hasPrefetchedBytes() && isFillInterested()) {
            // The current request has ended meanwhile, and the selector waits for bytes that have been read here.
            wakeReader();
        }
        return closed;
    }

    private synchronized boolean readAhead() {
        if (closedByCaller || !isOpen()) {
            return true;
        }
        try {
            // Reads bytes of a pipelined request, too, while there is room: the end of the connection comes after them.
            closedByCaller = super.fill(prefetched) < 0;
        } catch (IOException reset) {
            closedByCaller = true;
        }
        return closedByCaller;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        int filled = prefetched.hasRemaining() ? BufferUtil.append(buffer, prefetched) : super.fill(buffer);
        if (filled > 0 && !handlingRequest && headerStartedAt.isEmpty()) {
            headerStartedAt = OptionalLong.of(System.nanoTime());
        }
        return filled;
    }

    /** Marks the request header as complete; the bytes that follow are the body. */
    synchronized void beginRequestHandling() {
        handlingRequest = true;
        headerStartedAt = OptionalLong.empty();
    }

    /** Marks the request as finished; the bytes that follow are the next header. */
    synchronized void endRequestHandling() {
        handlingRequest = false;
    }

    /** Returns whether a request header has been incomplete for longer than {@code limit}. */
    synchronized boolean isHeaderOverdue(Duration limit) {
        return headerStartedAt.isPresent() && System.nanoTime() - headerStartedAt.getAsLong() > limit.toNanos();
    }

    @Override
    protected void needsFillInterest() {
        if (hasPrefetchedBytes()) {
            wakeReader();
        } else {
            super.needsFillInterest();
        }
    }

    /** Lets the connection read on a thread of its own, as it may handle the next request there. */
    private void wakeReader() {
        Thread.ofVirtual().name("caller-reader").start(() -> getFillInterest().fillable());
    }

    private synchronized boolean hasPrefetchedBytes() {
        return prefetched.hasRemaining();
    }
}
