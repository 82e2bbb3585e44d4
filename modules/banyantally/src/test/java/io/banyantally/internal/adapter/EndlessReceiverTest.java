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

/** Receivers of orders and other calls whose answers have no end until the connection is closed. */
@Timeout(30)
final class EndlessReceiverTest {

    private static final Duration ORDER_LIMIT = Duration.ofSeconds(3);
    private static final Duration FREE_LIMIT = Duration.ofSeconds(1);
    private static final long KERNEL_BYTES = 12L * 1024 * 1024;
    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int BLOCK_BYTES = 16 * 1024;
    private static final Duration CLOSE_TIME = Duration.ofSeconds(4);

    private final AtomicLong sent = new AtomicLong();
    private final CountDownLatch closed = new CountDownLatch(1);

    /** What comes without end. */
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

        private final String beginning;
        private final String piece;

        Endless(String beginning, String piece) {
            this.beginning = beginning;
            this.piece = piece;
        }
    }

    /** Guards against an answer to an order that takes memory and processor time up to the order's time limit. */
    @ParameterizedTest
    @EnumSource
    void fastAnswerToAnOrderIsClosedByItsSize(Endless endless) throws Exception {
        try (ScriptedServer server = endless(endless)) {
            long began = System.nanoTime();
            assertThrows(UpstreamException.class, () -> order(server));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);

            assertTrue(millis < ORDER_LIMIT.toMillis() / 2, "ended after " + millis + " ms");
            assertClosed();
        }
    }

    /** Guards against a call whose answer nobody waits for and that is read without end. */
    @ParameterizedTest
    @EnumSource
    void fastAnswerThatNobodyWaitsForIsClosedByItsSize(Endless endless) throws Exception {
        AdapterHttpClient client = AdapterHttpClient.start();
        try (ScriptedServer server = endless(endless)) {
            client.sendWithoutAnswer(HttpCall.read(server.address(), "/free", FREE_LIMIT));

            assertClosed();
        } finally {
            client.close();
        }
    }

    /** Guards against a line of an engine's answer that is kept in memory without end. */
    @Test
    void lineWithoutEndIsAFailure() {
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
        try (OrderConnection connection = OrderConnection.open(server.address(), ORDER_LIMIT, MonotonicClock.SYSTEM)) {
            connection.send("POST", "/orders", List.of(), new byte[] {'x'}, () -> true);
        }
    }

    private ScriptedServer endless(Endless endless) throws IOException {
        byte[] block =
                endless.piece.repeat(BLOCK_BYTES / endless.piece.length()).getBytes(StandardCharsets.ISO_8859_1);
        return ScriptedServer.start((request, socket, output) -> {
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
            try {
                output.write(endless.beginning.getBytes(StandardCharsets.ISO_8859_1));
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
        assertTrue(closed.await(CLOSE_TIME.toMillis(), TimeUnit.MILLISECONDS), "open after " + sent + " bytes");
        assertTrue(sent.get() < KERNEL_BYTES, "took " + sent + " bytes");
    }

    /** A stream of one byte without end. */
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
