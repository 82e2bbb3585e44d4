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

/** A server on a loopback port that receives one order at a time, with an interim response and a read timeout. */
final class LoopbackReceiver implements AutoCloseable {

    static final String CLOSED = "closed without an order";
    private static final int BODY_BYTES = 4;

    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private final int readTimeoutMillis;
    private final String interimResponse;
    private final String finalResponse;

    LoopbackReceiver(int readTimeoutMillis, String interimResponse, String finalResponse) throws IOException {
        this.readTimeoutMillis = readTimeoutMillis;
        this.interimResponse = interimResponse;
        this.finalResponse = finalResponse;
        Thread.ofVirtual().start(this::serve);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    /** Returns the order that was received on the next connection, or {@link #CLOSED}. */
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
        respond(socket, interimResponse);
        byte[] body = input.readNBytes(BODY_BYTES);
        if (body.length < BODY_BYTES) {
            return CLOSED;
        }
        respond(socket, finalResponse);
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private static void respond(Socket socket, String response) throws IOException {
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
