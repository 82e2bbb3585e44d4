package io.banyantally.internal.forwarding;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection of a caller that can be asked whether the caller has closed it. The HTTP library does not read while a
 * request runs, so it would notice only when it writes the answer.
 */
final class ProbingEndPoint extends SocketChannelEndPoint {

    private static final int PROBE_BYTES = 2048;

    /** Bytes of a next request that a probe has read; handed out before further bytes are read. */
    private final ByteBuffer early = BufferUtil.allocate(PROBE_BYTES);

    private boolean ended;

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
        return early.hasRemaining() ? BufferUtil.append(buffer, early) : super.fill(buffer);
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
