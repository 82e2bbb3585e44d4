import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A client's connection to a gateway. */
final class Caller implements AutoCloseable {

    private final Socket socket;
    private final BufferedInputStream input;

    Caller(InetSocketAddress gateway) throws IOException {
        socket = new Socket();
        socket.connect(gateway, 1000);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    Socket socket() {
        return socket;
    }

    BufferedInputStream input() {
        return input;
    }

    /** Sends a request; further headers end with a line break each. */
    void send(String method, String path, String attempt, long deadlineMilliseconds, String furtherHeaders, String body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: " + attempt
                + "\r\nX-Deadline-Milliseconds: " + deadlineMilliseconds + "\r\n" + furtherHeaders
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Reads the answer within a time; empty if the connection ends in order before it begins. */
    Optional<Message> answer(int milliseconds) throws IOException {
        socket.setSoTimeout(milliseconds);
        return Message.readResponse(input);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
