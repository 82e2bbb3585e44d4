package io.banyantally.internal.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Reads from a socket until a deadline. The socket's own timeout restarts with each read, so a slow sender evades it.
 */
final class DeadlineInputStream extends InputStream {

    private final Socket socket;
    private final InputStream input;
    private boolean limited;
    private long deadlineNanos;

    DeadlineInputStream(Socket socket) throws IOException {
        this.socket = socket;
        this.input = socket.getInputStream();
    }

    /** Sets the total time for all reads from now on; zero for no limit. */
    void setTimeLimit(Duration timeLimit) {
        limited = timeLimit.isPositive();
        deadlineNanos = System.nanoTime() + timeLimit.toNanos();
    }

    @Override
    public int read() throws IOException {
        byte[] next = new byte[1];
        return read(next, 0, 1) < 0 ? -1 : next[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        socket.setSoTimeout(limited ? remainingMillis() : 0);
        return input.read(bytes, offset, length);
    }

    private int remainingMillis() throws SocketTimeoutException {
        long millis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (millis <= 0) {
            throw new SocketTimeoutException("no complete frame within the time limit");
        }
        return Math.toIntExact(millis);
    }
}
