package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.FaultRow;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a write with an unknown outcome that is reported as not applied, and against retried writes. */
final class HttpKeyValueStoreTest {

    private static final StoreKey KEY = new StoreKey("scope/asistente/quito-n");
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final byte[] VALUE = {1, 2, 3};
    private static final String EMPTY = reply("DONE", 0, "null", 0);

    private final AdapterHttpClient client = AdapterHttpClient.start();

    @AfterEach
    void closeClient() {
        client.close();
    }

    private HttpKeyValueStore store(ScriptedServer server) {
        return new HttpKeyValueStore(client, server.address(), LONG_TIMEOUT);
    }

    private HttpKeyValueStore store(ScriptedServer server, WireFault fault) {
        return new HttpKeyValueStore(client, server.address(), fault.timeLimit());
    }

    @ParameterizedTest
    @EnumSource
    @FaultRow(
            promise = Promise.STALE_AUTHORITY_HARMLESS,
            step = "write of a scope record",
            fault = "no complete response")
    void writeWithoutCompleteResponseHasUnknownOutcomeAndIsNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            HttpKeyValueStore store = store(server, fault);
            assertThrows(OutcomeUnknownException.class, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
            assertEquals(1, server.requests().size());
        }
    }

    @ParameterizedTest
    @EnumSource
    void leaseRequestsWithoutCompleteResponseHaveUnknownOutcome(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            HttpKeyValueStore store = store(server, fault);
            assertThrows(OutcomeUnknownException.class, () -> store.renewLease(new LeaseId(1)));
            assertThrows(OutcomeUnknownException.class, () -> store.grantLease(Duration.ofSeconds(6)));
            assertThrows(OutcomeUnknownException.class, () -> store.revokeLease(new LeaseId(1)));
            assertEquals(3, server.requests().size());
        }
    }

    @ParameterizedTest
    @EnumSource
    void readWithoutCompleteResponseFailsAndIsNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            HttpKeyValueStore store = store(server, fault);
            assertThrows(StoreUnavailableException.class, () -> store.get(KEY));
            assertEquals(1, server.requests().size());
        }
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "write of a claim", fault = "connection refused")
    void refusedConnectionMeansNothingWritten() throws IOException {
        HttpKeyValueStore store = new HttpKeyValueStore(client, ScriptedServer.refusingAddress());
        assertThrows(StoreUnavailableException.class, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        assertThrows(StoreUnavailableException.class, () -> store.grantLease(Duration.ofSeconds(6)));
    }

    @Test
    void outcomesOfTheServiceHaveOwnExceptionTypes() throws IOException {
        assertWriteFails(ScriptedServer.status(503), StoreUnavailableException.class);
        assertWriteFails(ScriptedServer.ok(reply("REFUSED", 0, "null", 0)), StoreUnavailableException.class);
        assertWriteFails(ScriptedServer.ok(reply("LEASE_LAPSED", 0, "null", 0)), LeaseLapsedException.class);
        assertWriteFails(ScriptedServer.ok(reply("CONFLICT", 9, "null", 0)), RevisionConflictException.class);
        assertWriteFails(ScriptedServer.ok("{\"outcome\":\"PERHAPS\"}"), OutcomeUnknownException.class);
        assertWriteFails(ScriptedServer.ok("null"), OutcomeUnknownException.class);
    }

    private void assertWriteFails(String response, Class<? extends StoreException> expected) throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(response)) {
            HttpKeyValueStore store = store(server);
            assertThrows(expected, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        }
    }

    @Test
    void overlongResponseFails() throws IOException {
        String response = ScriptedServer.ok(reply("DONE", 1, "\"" + "A".repeat(4_000_000) + "\"", 0));
        try (ScriptedServer server = ScriptedServer.respondingWith(response)) {
            HttpKeyValueStore store = store(server);
            assertThrows(StoreUnavailableException.class, () -> store.get(KEY));
        }
    }

    @Test
    void writesDoNotUsePooledConnections() throws IOException, StoreException {
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.ok(EMPTY))) {
            HttpKeyValueStore store = store(server);
            store.get(KEY);
            store.get(KEY);
            assertEquals(1, server.connections(), "reads share a pooled connection");
            store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE);
            store.renewLease(new LeaseId(1));
            assertEquals(3, server.connections(), "each write opens its own connection");
        }
    }

    @Test
    void readOnStaleConnectionFailsWithoutRetry() throws IOException, StoreException {
        try (ScriptedServer server = ScriptedServer.start((request, socket, output) -> {
            if (request.contains("first")) {
                output.write(ScriptedServer.ok(EMPTY).getBytes(StandardCharsets.UTF_8));
                return true;
            }
            return false;
        })) {
            HttpKeyValueStore store = store(server);
            store.get(new StoreKey("first"));
            assertThrows(StoreUnavailableException.class, () -> store.get(new StoreKey("second")));
            assertEquals(2, server.requests().size());
            assertEquals(1, server.connections());
        }
    }

    private static String reply(String outcome, long revision, String value, long number) {
        return "{\"outcome\":\"" + outcome + "\",\"revision\":" + revision + ",\"value\":" + value
                + ",\"changed\":false,\"number\":" + number + "}";
    }
}
