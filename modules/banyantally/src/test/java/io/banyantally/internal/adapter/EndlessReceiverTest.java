package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.upstream.UpstreamException;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against servers whose response to an order or another request does not end until the client closes the
 * connection.
 */
@Timeout(30)
final class EndlessReceiverTest {

    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration UNAWAITED_TIMEOUT = Duration.ofSeconds(1);
    /** What the server can send before the client closes the connection, mostly into the kernel's socket buffers. */
    private static final long MAXIMUM_SENT_BYTES = 12L * 1024 * 1024;

    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int BLOCK_BYTES = 16 * 1024;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(4);

    private final AtomicLong sent = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);

    /** The part of a response that the server repeats without end. */
    enum Endless {
        HEADER_LINE("HTTP/1.1 200 OK\r\nX-Long: ", "x"),
        HEADER_FIELDS("HTTP/1.1 200 OK\r\n", "X-Field: a\r\n"),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        INTERIM("", "HTTP/1.1 100 Continue\r\n\r\n"),
        BLANK_LINES("", "\r\n"),
        TEXT("", "no answer "),
        CHUNK_EXTENSION("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", "x"),
        TRAILER("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "x"),
        BODY("HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", "x");

        private final String prefix;
        private final String repeated;

        Endless(String prefix, String repeated) {
            this.prefix = prefix;
            this.repeated = repeated;
        }
    }

    /** Without a size limit, a response to an order would use memory and CPU until the time limit of the order. */
    @ParameterizedTest
    @EnumSource
    void endlessResponseToAnOrderIsClosedBySizeLimit(Endless endless) throws Exception {
        try (ScriptedServer server = startServer(endless)) {
            long start = System.nanoTime();
            assertThrows(UpstreamException.class, () -> order(server));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);

            assertTrue(millis < ORDER_TIMEOUT.toMillis() / 2, "ended after " + millis + " ms");
            assertClosed();
        }
    }

    /** Without a size limit, a response that nobody waits for would be read forever. */
    @ParameterizedTest
    @EnumSource
    void endlessResponseWithoutWaiterIsClosedBySizeLimit(Endless endless) throws Exception {
        AdapterHttpClient client = AdapterHttpClient.start();
        try (ScriptedServer server = startServer(endless)) {
            client.sendWithoutAnswer(HttpCall.read(server.address(), "/free", UNAWAITED_TIMEOUT));

            assertClosed();
        } finally {
            client.close();
        }
    }

    /** Without a length limit, a line of an engine's response would be buffered until memory runs out. */
    @Test
    void endlessLineFails() {
        InputStream endless = new SequenceInputStream(
                new ByteArrayInputStream("first\n".getBytes(StandardCharsets.UTF_8)), new RepeatedByte());
        LineReader lines = new LineReader(endless);

        assertThrows(IOException.class, () -> {
            while (true) {
                assertTrue(lines.advance());
            }
        });
    }

    private static void order(ScriptedServer server) throws UpstreamException {
        try (OrderConnection connection =
                OrderConnection.open(server.address(), ORDER_TIMEOUT, MonotonicClock.SYSTEM)) {
            connection.send("POST", "/orders", List.of(), new byte[] {'x'}, () -> true);
        }
    }

    private ScriptedServer startServer(Endless endless) throws IOException {
        byte[] block =
                endless.repeated.repeat(BLOCK_BYTES / endless.repeated.length()).getBytes(StandardCharsets.ISO_8859_1);
        return ScriptedServer.start((request, socket, output) -> {
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
            try {
                output.write(endless.prefix.getBytes(StandardCharsets.ISO_8859_1));
                while (true) {
                    output.write(block);
                    sent.addAndGet(block.length);
                }
            } catch (IOException receiverClosed) {
                closed.countDown();
                throw receiverClosed;
            }
        });
    }

    private void assertClosed() throws InterruptedException {
        assertTrue(
                closed.await(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
                "connection still open after " + sent + " bytes");
        assertTrue(sent.get() < MAXIMUM_SENT_BYTES, "server could send " + sent + " bytes");
    }

    /** An endless stream of one repeated byte. */
    private static final class RepeatedByte extends InputStream {

        @Override
        public int read() {
            return 'x';
        }

        @Override
        public int read(byte[] bytes, int offset, int length) {
            Arrays.fill(bytes, offset, offset + length, (byte) 'x');
            return length;
        }
    }
}
