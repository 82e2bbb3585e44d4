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
 * One connection for one order. The headers go first with {@code Expect: 100-continue}; the permission is asked after the
 * interim answer and immediately before the body is written. A body that is delayed after that finds the connection closed
 * by the receiver's read timeout. Plain sockets are used because an HTTP client may buffer, reuse a connection or repeat a
 * request between the check and the body.
 */
public final class OrderConnection implements AutoCloseable {

    private static final int CONTINUE = 100;
    private static final int FIRST_FINAL_STATUS = 200;
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
     * Opens a connection.
     *
     * @param limit the time for the connection, the order and its answer together
     * @throws NotSentException if the receiver could not be reached
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
            socket.connect(receiver, Math.toIntExact(limit.toMillis()));
            return new OrderConnection(socket, receiver, clock, openedAt, limit);
        } catch (IOException failure) {
            closeQuietly(socket);
            throw new NotSentException("cannot connect to " + receiver + " to send an order", failure);
        }
    }

    /**
     * Sends the order once and waits for the final answer.
     *
     * @throws NotSentException if the permission was refused or the connection failed before the body was begun
     * @throws UpstreamRefusedException if the receiver gave its final answer without asking for the body
     * @throws AnswerTruncatedException if the body was begun and no whole answer came; the order may have run
     */
    public ServiceAnswer send(
            String method, String path, List<HeaderField> headers, byte[] body, SendPermission permission)
            throws UpstreamException {
        return exchange(head(method, path, headers, body.length, true), body, permission, true);
    }

    /**
     * Sends an order to a receiver that has no interim answer: the permission is asked when the connection is open, and
     * headers and body are then written together.
     *
     * @throws NotSentException if the permission was refused
     * @throws AnswerTruncatedException if no whole answer came; the order may have run
     */
    public ServiceAnswer sendWithoutInterimAnswer(
            String method, String path, List<HeaderField> headers, byte[] body, SendPermission permission)
            throws UpstreamException {
        byte[] head = head(method, path, headers, body.length, false);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        return exchange(new byte[0], whole, permission, false);
    }

    private ServiceAnswer exchange(byte[] head, byte[] body, SendPermission permission, boolean interim)
            throws UpstreamException {
        if (used) {
            throw new IllegalStateException("the connection to " + receiver + " was used; open one for each order");
        }
        used = true;
        OrderAnswerParser parser = new OrderAnswerParser();
        OutputStream output;
        try {
            output = socket.getOutputStream();
            if (interim) {
                output.write(head);
                output.flush();
                awaitInterimAnswer(parser);
            }
            // An order that is already late is not begun: nobody would wait for its answer.
            limitNextRead();
        } catch (IOException failure) {
            throw new NotSentException("the connection to " + receiver + " failed before the order", failure);
        }
        if (!permission.isGranted()) {
            throw new NotSentException("the sender may no longer send orders to " + receiver);
        }
        try {
            output.write(body);
            output.flush();
            return readFinal(parser);
        } catch (IOException failure) {
            throw new AnswerTruncatedException("no whole answer to an order from " + receiver, failure);
        }
    }

    private void awaitInterimAnswer(OrderAnswerParser parser) throws IOException, UpstreamRefusedException {
        ServiceAnswer answer = parser.read(socket.getInputStream(), this::limitNextRead);
        if (answer.status() != CONTINUE) {
            throw new UpstreamRefusedException(
                    receiver + " answered " + answer.status() + " without reading the order");
        }
    }

    private ServiceAnswer readFinal(OrderAnswerParser parser) throws IOException {
        ServiceAnswer answer;
        do {
            answer = parser.read(socket.getInputStream(), this::limitNextRead);
        } while (answer.status() < FIRST_FINAL_STATUS);
        if (answer.status() != NO_CONTENT && answer.headers().stream().noneMatch(OrderConnection::statesAnEnd)) {
            throw new IOException("the answer states neither a length nor chunks, so it has no end");
        }
        return answer;
    }

    private static boolean statesAnEnd(HeaderField field) {
        return field.name().equalsIgnoreCase("Content-Length") || field.name().equalsIgnoreCase("Transfer-Encoding");
    }

    private void limitNextRead() throws IOException {
        long remaining = limit.minus(clock.since(openedAt)).toMillis();
        if (remaining <= 0) {
            throw new SocketTimeoutException("the time limit " + limit + " of an order has passed");
        }
        socket.setSoTimeout(Math.toIntExact(remaining));
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
                    "header " + field.name() + " holds a control character; remove line breaks");
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
            // The connection is not used again, so nothing depends on how it ended.
        }
    }
}
