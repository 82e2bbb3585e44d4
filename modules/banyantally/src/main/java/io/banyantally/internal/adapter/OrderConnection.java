package io.banyantally.internal.adapter;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * A connection that sends one order. The headers are sent first with {@code Expect: 100-continue}; the permission is
 * checked after the interim response and immediately before the body is written. If the body is delayed after the
 * check, the server's read timeout has closed the connection before the body arrives. Uses plain sockets because an
 * HTTP client may buffer, reuse a connection or retry a request between the check and the body.
 */
public final class OrderConnection implements AutoCloseable {

    private static final int CONTINUE = 100;
    private static final int NO_CONTENT = 204;

    private final Socket socket;
    private final InetSocketAddress receiver;
    private final MonotonicClock clock;
    private final long openedAt;
    private final Duration limit;
    private boolean used;

    private OrderConnection(
            Socket socket, InetSocketAddress receiver, MonotonicClock clock, long openedAt, Duration limit) {
        this.socket = socket;
        this.receiver = receiver;
        this.clock = clock;
        this.openedAt = openedAt;
        this.limit = limit;
    }

    /**
     * Connects to a server.
     *
     * @param limit the total time for connecting, the order and its response
     * @throws NotSentException if the connection cannot be opened
     */
    public static OrderConnection open(InetSocketAddress receiver, Duration limit, MonotonicClock clock)
            throws NotSentException {
        if (!limit.isPositive()) {
            throw new IllegalArgumentException("time limit " + limit + " is not positive; use 1 ms or more");
        }
        long openedAt = clock.nanoTime();
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.connect(receiver, Math.toIntExact(TimeoutMillis.of(limit)));
            return new OrderConnection(socket, receiver, clock, openedAt, limit);
        } catch (IOException failure) {
            closeQuietly(socket);
            throw new NotSentException("cannot connect to " + receiver + " to send an order", failure);
        }
    }

    /**
     * Sends the order once and waits for the final response.
     *
     * @throws NotSentException if the permission was denied or the connection failed before the body was sent
     * @throws UpstreamRefusedException if the server sent its final response without an interim one
     * @throws AnswerTruncatedException if a part of the body may have been sent and no complete response arrived; the
     *     order may have run
     */
    public ServiceAnswer send(
            String method, String path, List<HeaderField> headers, byte[] body, SendPermission permission)
            throws UpstreamException {
        return exchange(head(method, path, headers, body.length, true), body, permission, true);
    }

    /**
     * Sends an order to a server that sends no interim response: checks the permission after connecting, and then
     * writes headers and body together.
     *
     * @throws NotSentException if the permission was denied
     * @throws AnswerTruncatedException if no complete response arrived; the order may have run
     */
    public ServiceAnswer sendWithoutInterimAnswer(
            String method, String path, List<HeaderField> headers, byte[] body, SendPermission permission)
            throws UpstreamException {
        byte[] head = head(method, path, headers, body.length, false);
        byte[] message = new byte[head.length + body.length];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(body, 0, message, head.length, body.length);
        return exchange(new byte[0], message, permission, false);
    }

    private ServiceAnswer exchange(byte[] head, byte[] body, SendPermission permission, boolean interim)
            throws UpstreamException {
        if (used) {
            throw new IllegalStateException(
                    "the connection to " + receiver + " was already used; open a new one for each order");
        }
        used = true;
        OrderResponseParser parser = new OrderResponseParser();
        OutputStream output;
        try {
            output = socket.getOutputStream();
            if (interim) {
                output.write(head);
                output.flush();
                awaitInterimResponse(parser);
            }
            // Throws if the time limit has passed: an order whose response nobody would wait for is not sent.
            setReadTimeout();
        } catch (IOException failure) {
            throw new NotSentException("the connection to " + receiver + " failed before the order was sent", failure);
        }
        if (!permission.isGranted()) {
            throw new NotSentException("permission denied for an order to " + receiver);
        }
        try {
            output.write(body);
            output.flush();
            return readFinal(parser);
        } catch (IOException failure) {
            throw new AnswerTruncatedException("no complete response to an order from " + receiver, failure);
        }
    }

    private void awaitInterimResponse(OrderResponseParser parser) throws IOException, UpstreamRefusedException {
        ServiceAnswer answer = parser.read(socket.getInputStream(), this::setReadTimeout);
        if (answer.status() != CONTINUE) {
            throw new UpstreamRefusedException(
                    receiver + " answered " + answer.status() + " without reading the order");
        }
    }

    private ServiceAnswer readFinal(OrderResponseParser parser) throws IOException {
        ServiceAnswer answer;
        do {
            answer = parser.read(socket.getInputStream(), this::setReadTimeout);
        } while (FinalStatus.isInterim(answer.status()));
        if (!FinalStatus.isValid(answer.status())) {
            throw new IOException("status " + answer.status() + " is not that of a final response");
        }
        if (answer.status() != NO_CONTENT && answer.headers().stream().noneMatch(OrderConnection::delimitsBody)) {
            throw new IOException(
                    "the response has neither Content-Length nor Transfer-Encoding, so its end is unknown");
        }
        return answer;
    }

    private static boolean delimitsBody(HeaderField field) {
        return field.name().equalsIgnoreCase("Content-Length") || field.name().equalsIgnoreCase("Transfer-Encoding");
    }

    private void setReadTimeout() throws IOException {
        Duration remaining = limit.minus(clock.since(openedAt));
        if (!remaining.isPositive()) {
            throw new SocketTimeoutException("the time limit " + limit + " of an order was exceeded");
        }
        socket.setSoTimeout(Math.toIntExact(TimeoutMillis.of(remaining)));
    }

    private byte[] head(String method, String path, List<HeaderField> headers, int length, boolean interim) {
        StringBuilder head =
                new StringBuilder().append(method).append(' ').append(path).append(" HTTP/1.1\r\n");
        append(head, new HeaderField("Host", receiver.getHostString() + ":" + receiver.getPort()));
        append(head, new HeaderField("Content-Length", Integer.toString(length)));
        append(head, new HeaderField("Connection", "close"));
        if (interim) {
            append(head, new HeaderField("Expect", "100-continue"));
        }
        headers.forEach(field -> append(head, field));
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void append(StringBuilder head, HeaderField field) {
        if ((field.name() + field.value()).chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException(
                    "header " + field.name() + " contains a control character; remove line breaks");
        }
        head.append(field.name()).append(": ").append(field.value()).append("\r\n");
    }

    @Override
    public void close() {
        closeQuietly(socket);
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException failure) {
            // The connection is not used again, so a failure to close it has no consequences.
        }
    }
}
