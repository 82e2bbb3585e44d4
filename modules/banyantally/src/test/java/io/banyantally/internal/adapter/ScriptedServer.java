package io.banyantally.internal.adapter;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on a raw socket that writes the exact response bytes of a test, and records connections and requests. */
final class ScriptedServer implements AutoCloseable {

    private static final Socket BOUND_SOCKET = new Socket();

    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();

    /** Responds to a request; returns whether the connection stays open. */
    @FunctionalInterface
    interface Script {
        boolean respond(String request, Socket socket, OutputStream output) throws IOException, InterruptedException;
    }

    private ScriptedServer(ServerSocket listener, Script script) {
        this.listener = listener;
        this.script = script;
    }

    static ScriptedServer start(Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(new ServerSocket(0, 128, InetAddress.getLoopbackAddress()), script);
        Thread.ofVirtual().start(server::accept);
        return server;
    }

    /** Starts a server that writes the same response to each request and keeps the connection open. */
    static ScriptedServer respondingWith(String text) throws IOException {
        return start((request, socket, output) -> {
            output.write(text.getBytes(StandardCharsets.UTF_8));
            output.flush();
            return true;
        });
    }

    /** Returns an address that refuses connections; its port stays bound, so that no other process can listen on it. */
    static InetSocketAddress refusingAddress() throws IOException {
        synchronized (BOUND_SOCKET) {
            if (!BOUND_SOCKET.isBound()) {
                BOUND_SOCKET.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            }
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), BOUND_SOCKET.getLocalPort());
        }
    }

    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    static String status(int status) {
        return "HTTP/1.1 " + status + " Status\r\nContent-Length: 0\r\n\r\n";
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** Returns the requests that were received completely, with headers and body. */
    List<String> requests() {
        return requests;
    }

    int connections() {
        return connections.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                open.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            boolean keepOpen = true;
            while (keepOpen) {
                String request = readRequest(input, socket.getOutputStream());
                requests.add(request);
                keepOpen = script.respond(request, socket, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException ended) {
            // The client closed the connection, or the test has ended.
        }
    }

    /** Reads a request, and sends 100 Continue if the client expects it before the body. */
    private static String readRequest(InputStream input, OutputStream output) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection closed before the end of a request");
            }
            head.append((char) next);
        }
        int length = 0;
        for (String line : head.toString().split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(
                        line.substring("content-length:".length()).trim());
            }
        }
        if (head.indexOf("Expect: 100-continue") >= 0) {
            output.write("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("connection closed before the end of a request");
        }
        return head + new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }
}
