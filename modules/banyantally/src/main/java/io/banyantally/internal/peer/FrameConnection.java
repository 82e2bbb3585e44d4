package io.banyantally.internal.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * One TCP connection. Frames are queued and written by a separate task, so that a peer that does not read can't block
 * the tasks that send to it.
 */
final class FrameConnection implements AutoCloseable {

    private static final int QUEUE_CAPACITY = 1_024;

    /**
     * Time limit from a frame's first byte to its last; equals the time without answers after which a peer is dropped.
     */
    private static final Duration FRAME_TIME_LIMIT = Duration.ofSeconds(2);

    private final Socket socket;
    private final DeadlineInputStream deadlineInput;
    private final DataInputStream input;
    private final DataOutputStream output;
    private final BlockingQueue<Frame> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread writer;
    private volatile Duration frameStartTimeout = Duration.ZERO;

    FrameConnection(Socket socket, String name) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        this.deadlineInput = new DeadlineInputStream(socket);
        this.input = new DataInputStream(new BufferedInputStream(deadlineInput));
        this.output = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
        this.writer = Thread.ofVirtual().name("peer-writer-" + name).start(this::writeQueued);
    }

    /** Waits for the next frame. Once its first byte has arrived, the rest must follow within the frame time limit. */
    Frame read() throws IOException {
        deadlineInput.setTimeLimit(frameStartTimeout);
        input.mark(1);
        if (input.read() < 0) {
            throw new EOFException("the peer has closed the connection");
        }
        input.reset();
        deadlineInput.setTimeLimit(FRAME_TIME_LIMIT);
        return FrameCodec.read(input);
    }

    /** Limits how long {@link #read} waits for the first byte of a frame; zero for no limit. */
    void setFrameStartTimeout(Duration timeout) {
        frameStartTimeout = timeout;
    }

    /** Queues a frame; returns false if the queue stays full for {@code timeout}. */
    boolean send(Frame frame, Duration timeout) throws InterruptedException {
        return queue.offer(frame, timeout.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void writeQueued() {
        try {
            while (!socket.isClosed()) {
                FrameCodec.write(output, queue.take());
                if (queue.isEmpty()) {
                    output.flush();
                }
            }
        } catch (IOException closed) {
            close();
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error failure) {
            // Frames would queue up on a connection that is not written any more.
            close();
            throw failure;
        }
    }

    @Override
    public void close() {
        writer.interrupt();
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is not used again, whether its close succeeded or not.
        }
    }
}
