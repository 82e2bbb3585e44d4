import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a free loopback port; one thread serves the requests of a connection one after the other. */
final class Server implements AutoCloseable {

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
        this.handler = handler;
        this.listener = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
    }

    String addressText() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
            for (Optional<Message> request = Message.readRequest(input);
                    request.isPresent();
                    request = Message.readRequest(input)) {
                if (!handler.handle(request.get(), socket)) {
                    return;
                }
            }
        } catch (IOException gone) {
            // The other side has left.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(socket);
        }
    }

    /** Writes a response with a length. */
    static void respond(Socket socket, int status, Map<String, String> headers, byte[] body) throws IOException {
        OutputStream output = socket.getOutputStream();
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        output.write(whole);
        output.flush();
    }

    /** Closes the listener and all connections. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    /** Answers one request; returns whether the connection goes on. */
    @FunctionalInterface
    interface Handler {
        boolean handle(Message request, Socket socket) throws IOException, InterruptedException;
    }
}
