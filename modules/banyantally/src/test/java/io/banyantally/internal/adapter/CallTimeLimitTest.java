package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.upstream.UpstreamException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against calls that end before their time limit, because it is cut to whole milliseconds. */
@Timeout(30)
final class CallTimeLimitTest {

    /** Just below a whole millisecond, so that a cut time limit is shorter by almost one. */
    private static final Duration TIME_LIMIT = Duration.ofNanos(100_999_999);

    private static final int CALLS = 20;

    private ScriptedServer silent;
    private AdapterHttpClient client;

    @BeforeEach
    void start() throws Exception {
        silent = ScriptedServer.start((request, socket, output) -> true);
        client = AdapterHttpClient.start();
        // The first call of a process takes longer than the time limit before it is sent.
        assertThrows(
                IncompleteResponseException.class,
                () -> client.send(HttpCall.read(silent.address(), "/", Duration.ofMillis(300)), 1000));
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        silent.close();
    }

    /** The ways to wait for a response. */
    enum Waiting {
        PREPARED {
            @Override
            void call(AdapterHttpClient client, HttpCall call) throws ExchangeException, InterruptedException {
                try (HttpExchange exchange = client.prepare(call)) {
                    exchange.awaitHeaders();
                }
            }
        },
        OPENED {
            @Override
            void call(AdapterHttpClient client, HttpCall call) throws ExchangeException, InterruptedException {
                client.open(call).close();
            }
        },
        WHOLE {
            @Override
            void call(AdapterHttpClient client, HttpCall call) throws ExchangeException, InterruptedException {
                client.send(call, 1000);
            }
        };

        abstract void call(AdapterHttpClient client, HttpCall call) throws ExchangeException, InterruptedException;
    }

    /** A call that ends early counts as a failure of its upstream, with time left. */
    @ParameterizedTest
    @EnumSource
    void callOnAPooledConnectionLastsForItsTimeLimit(Waiting waiting) {
        assertLast(waiting, HttpCall.read(silent.address(), "/", TIME_LIMIT));
    }

    /** The rest of the time limit after connecting is cut, too. */
    @ParameterizedTest
    @EnumSource
    void callOnItsOwnConnectionLastsForItsTimeLimit(Waiting waiting) {
        assertLast(waiting, HttpCall.read(silent.address(), "/", TIME_LIMIT).withPermission(() -> true));
    }

    /** An order that ends early may have run, and its outcome is unknown. */
    @Test
    void orderLastsForItsTimeLimit() {
        for (int call = 0; call < CALLS; call++) {
            long start = System.nanoTime();
            assertThrows(UpstreamException.class, () -> order(silent.address(), TIME_LIMIT));
            assertNotEarly(start);
        }
    }

    /** A timeout of zero milliseconds would be none. */
    @Test
    void timeLimitBelowAMillisecondIsRoundedUp() {
        assertEquals(1, TimeoutMillis.of(Duration.ofNanos(1)));
        assertEquals(101, TimeoutMillis.of(TIME_LIMIT));
        assertEquals(101, TimeoutMillis.of(Duration.ofMillis(101)));
    }

    private static void order(InetSocketAddress server, Duration limit) throws UpstreamException {
        try (OrderConnection connection = OrderConnection.open(server, limit, MonotonicClock.SYSTEM)) {
            connection.sendWithoutInterimAnswer("POST", "/orders", List.of(), new byte[] {'x'}, () -> true);
        }
    }

    private void assertLast(Waiting waiting, HttpCall call) {
        for (int index = 0; index < CALLS; index++) {
            long start = System.nanoTime();
            assertThrows(IncompleteResponseException.class, () -> waiting.call(client, call));
            assertNotEarly(start);
        }
    }

    private static void assertNotEarly(long start) {
        Duration lasted = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(lasted.compareTo(TIME_LIMIT) >= 0, "ended after " + lasted + " of " + TIME_LIMIT);
    }
}
