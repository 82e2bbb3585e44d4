package io.banyantally.internal.peer;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Reads a socket up to a moment. The timeout of a socket begins anew with each byte, which a slow sender can use. */
final class TimedInput extends InputStream {

    private final Socket socket;
    private final InputStream input;
    private boolean limited;
    private long deadline;

    TimedInput(Socket socket) throws IOException {
        this.socket = socket;
        this.input = socket.getInputStream();
    }

    /** Sets how long all reads from now on may take together; zero for no limit. */
    void limit(Duration limit) {
        limited = limit.isPositive();
        deadline = System.nanoTime() + limit.toNanos();
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
        long millis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (millis <= 0) {
            throw new SocketTimeoutException("the time limit of a frame has passed");
        }
        return Math.toIntExact(millis);
    }
}
