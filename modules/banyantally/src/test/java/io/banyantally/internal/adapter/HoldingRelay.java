package io.banyantally.internal.adapter;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;

/** Forwards one connection on loopback; while it holds, bytes towards the receiver wait, as behind a network cut. */
final class HoldingRelay implements AutoCloseable {

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final InetSocketAddress receiver;
    private final CountDownLatch restored = new CountDownLatch(1);
    private final CountDownLatch delivered = new CountDownLatch(1);
    private volatile boolean holding;

    HoldingRelay(InetSocketAddress receiver) throws IOException {
        this.receiver = receiver;
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    void hold() {
        holding = true;
    }

    /** Delivers the bytes that were held back, and waits until they were written. */
    void restore() throws InterruptedException {
        restored.countDown();
        delivered.await();
    }

    private void accept() {
        try (Socket sender = listener.accept();
                Socket target = new Socket(receiver.getAddress(), receiver.getPort())) {
            Thread back = Thread.ofVirtual().start(() -> forward(target, sender, false));
            forward(sender, target, true);
            back.join();
        } catch (IOException | InterruptedException ended) {
            // The connection through the relay is over.
        }
    }

    private void forward(Socket from, Socket to, boolean mayHold) {
        byte[] bytes = new byte[1024];
        try {
            int count = from.getInputStream().read(bytes);
            while (count >= 0) {
                boolean late = mayHold && holding;
                if (late) {
                    restored.await();
                }
                try {
                    to.getOutputStream().write(bytes, 0, count);
                } finally {
                    if (late) {
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
