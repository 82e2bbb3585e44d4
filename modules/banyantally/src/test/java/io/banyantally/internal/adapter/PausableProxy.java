package io.banyantally.internal.adapter;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/** A loopback proxy for one connection that can delay the bytes to the server, like a network failure. */
final class PausableProxy implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final InetSocketAddress receiver;
    private final CountDownLatch resumed = new CountDownLatch(1);
    private final CountDownLatch delivered = new CountDownLatch(1);
    private volatile boolean paused;

    PausableProxy(InetSocketAddress receiver) throws IOException {
        this.receiver = receiver;
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    void pause() {
        paused = true;
    }

    /** Forwards the delayed bytes, and waits until they are written. */
    void resume() throws InterruptedException {
        resumed.countDown();
        delivered.await();
    }

    private void accept() {
        try (Socket sender = listener.accept();
                Socket target = new Socket(receiver.getAddress(), receiver.getPort())) {
            Thread responses = Thread.ofVirtual().start(() -> forward(target, sender, false));
            forward(sender, target, true);
            responses.join();
        } catch (IOException | InterruptedException ended) {
            // The connection through the proxy has ended.
        }
    }

    private void forward(Socket from, Socket to, boolean pausable) {
        byte[] bytes = new byte[1024];
        try {
            int count = from.getInputStream().read(bytes);
            while (count >= 0) {
                boolean delayed = pausable && paused;
                if (delayed) {
                    resumed.await();
                }
                try {
                    to.getOutputStream().write(bytes, 0, count);
                } finally {
                    if (delayed) {
                        delivered.countDown();
                    }
                }
                count = from.getInputStream().read(bytes);
            }
        } catch (IOException | InterruptedException ended) {
            // One side has closed.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
