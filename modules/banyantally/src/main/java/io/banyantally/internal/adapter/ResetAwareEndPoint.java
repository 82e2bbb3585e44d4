package io.banyantally.internal.adapter;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A connection to a receiver on which a reset is a failure, and on which an answer has few bytes beside its content. The
 * HTTP library reads a reset like an orderly end, by which an answer without a length that was cut would look complete; and
 * it reads interim answers, blank lines, chunk extensions and trailers without end.
 */
final class ResetAwareEndPoint extends SocketChannelEndPoint {

    /** For the head, interim answers and trailers of one answer: twice the largest head that the client takes. */
    private static final int BYTES_BESIDE_CONTENT = 64 * 1024;

    /** A chunk with one byte of content takes six bytes. */
    private static final int BYTES_FOR_EACH_OF_CONTENT = 6;

    private final AtomicLong allowance = new AtomicLong(BYTES_BESIDE_CONTENT);

    ResetAwareEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Returns the end point of a connection of the HTTP client. */
    static Optional<ResetAwareEndPoint> of(Object connection) {
        return connection instanceof Connection known && known.getEndPoint() instanceof ResetAwareEndPoint endPoint
                ? Optional.of(endPoint)
                : Optional.empty();
    }

    /** From now on the bytes of the next answer come. */
    void beginAnswer() {
        allowance.set(BYTES_BESIDE_CONTENT);
    }

    /** A reader has taken bytes of an answer's content. */
    void contentRead(int bytes) {
        allowance.addAndGet((long) bytes * BYTES_FOR_EACH_OF_CONTENT);
    }

    /** Returns whether more than the answer has come: bytes that belong to no request, or the end of the connection. */
    boolean hasMore() {
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
                if (allowance.addAndGet(-filled) < 0) {
                    throw new IOException(
                            "an answer with more than " + BYTES_BESIDE_CONTENT + " bytes beside its content");
                }
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }
}
