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
 * A connection of a caller that can be asked whether the caller has closed it, and for how long the head of a request has
 * come. The HTTP library does not read while a request runs, so it would notice a close only when it writes the answer, and it
 * sets no limit on the time of a head.
 */
final class ProbingEndPoint extends SocketChannelEndPoint {

    private static final int PROBE_BYTES = 2048;

    /** Bytes of a next request that a probe has read; handed out before further bytes are read. */
    private final ByteBuffer early = BufferUtil.allocate(PROBE_BYTES);

    private boolean ended;
    private boolean answering;

    /** When the first byte of a head came that has not ended, in monotonic nanoseconds. */
    private OptionalLong headBegan = OptionalLong.empty();

    ProbingEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns whether the caller has closed the connection. Call it only while a whole request is being answered. */
    synchronized boolean isClosedByCaller() {
        if (ended || !isOpen()) {
            return true;
        }
        try {
            // Also behind bytes of a next request, while there is room: the end of the connection comes after them.
            ended = super.fill(early) < 0;
        } catch (IOException reset) {
            ended = true;
        }
        return ended;
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        int filled = early.hasRemaining() ? BufferUtil.append(buffer, early) : super.fill(buffer);
        if (filled > 0 && !answering && headBegan.isEmpty()) {
            headBegan = OptionalLong.of(System.nanoTime());
        }
        return filled;
    }

    /** The head of a request has ended; what comes now is its body. */
    synchronized void beginAnswer() {
        answering = true;
        headBegan = OptionalLong.empty();
    }

    /** The request is answered; what comes now is the head of the next one. */
    synchronized void endAnswer() {
        answering = false;
    }

    /** Returns whether a head has come for longer than {@code limit} and has not ended. */
    synchronized boolean isHeadLate(Duration limit) {
        return headBegan.isPresent() && System.nanoTime() - headBegan.getAsLong() > limit.toNanos();
    }

    @Override
    protected void needsFillInterest() {
        if (hasEarlyBytes()) {
            getFillInterest().fillable();
        } else {
            super.needsFillInterest();
        }
    }

    private synchronized boolean hasEarlyBytes() {
        return early.hasRemaining();
    }
}
