package io.banyantally.internal.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A receiver of one order at a time on a loopback port, with an interim answer and a read timeout. */
final class LoopbackReceiver implements AutoCloseable {

    static final String CLOSED = "closed without an order";
    private static final int BODY_BYTES = 4;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final int readTimeoutMillis;
    private final String firstAnswer;
    private final String finalAnswer;

    LoopbackReceiver(int readTimeoutMillis, String firstAnswer, String finalAnswer) throws IOException {
        this.readTimeoutMillis = readTimeoutMillis;
        this.firstAnswer = firstAnswer;
        this.finalAnswer = finalAnswer;
        Thread.ofVirtual().start(this::serve);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Returns the order that took effect on the next connection, or {@link #CLOSED}. */
    String outcome() throws InterruptedException {
        return outcomes.poll(10, TimeUnit.SECONDS);
    }

    private void serve() {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                outcomes.add(receive(socket));
            } catch (IOException closed) {
                outcomes.add(CLOSED);
            }
        }
    }

    private String receive(Socket socket) throws IOException {
        socket.setSoTimeout(readTimeoutMillis);
        InputStream input = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return CLOSED;
            }
            head.append((char) next);
        }
        answer(socket, firstAnswer);
        byte[] body = input.readNBytes(BODY_BYTES);
        if (body.length < BODY_BYTES) {
            return CLOSED;
        }
        answer(socket, finalAnswer);
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private static void answer(Socket socket, String answer) throws IOException {
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
