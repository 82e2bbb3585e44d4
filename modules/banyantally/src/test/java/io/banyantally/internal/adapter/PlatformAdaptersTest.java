package io.banyantally.internal.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.UsageFigures;
import io.banyantally.platform.UsageReport;
import io.banyantally.testing.FaultRow;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a second upstream order or a second, different usage report after a lost response. */
final class PlatformAdaptersTest {

    private static final ServiceName SERVICE = new ServiceName("asistente");
    private static final AvailabilityZone ZONE = new AvailabilityZone("quito-n");
    private static final FencingNumber FENCING = new FencingNumber(4);
    private static final UsageReport REPORT =
            new UsageReport(new ClientAccountId("taller-norte"), 12, new UsageFigures(1, 2, 3), UsageFigures.ZERO);

    private final AdapterHttpClient client = AdapterHttpClient.start();

    /**
     * Loads the classes that a request needs, so that the tested ones do not exceed their short time limit on a busy
     * machine.
     */
    @BeforeEach
    void warmUp() throws IOException, StoreException {
        String reply = "{\"outcome\":\"DONE\",\"revision\":0,\"changed\":false,\"number\":0}";
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.ok(reply))) {
            new HttpKeyValueStore(client, server.address(), Duration.ofSeconds(20)).get(new StoreKey("warm"));
        }
    }

    @AfterEach
    void closeClient() {
        client.close();
    }

    private Executable order(InetSocketAddress address) {
        return () -> new HttpUpstreamOrdering(client, address, true)
                .order(SERVICE, ZONE, true, new OrderToken("t-1"), FENCING);
    }

    private Executable giveBack(InetSocketAddress address) {
        return () -> new HttpUpstreamOrdering(client, address, true).giveBack(new UpstreamId("u-1"), FENCING);
    }

    private Executable report(InetSocketAddress address) {
        return () -> new HttpUsageReportSink(client, address).report(REPORT, FENCING);
    }

    @ParameterizedTest
    @EnumSource
    @FaultRow(promise = Promise.SINGLE_UPSTREAM_ORDERER, step = "upstream order", fault = "no complete response")
    void orderWithoutCompleteResponseHasUnknownOutcomeAndIsNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            assertThrows(InterfaceOutcomeUnknownException.class, order(server.address()));
            assertThrows(InterfaceOutcomeUnknownException.class, giveBack(server.address()));
            assertEquals(2, server.requests().size());
        }
    }

    @ParameterizedTest
    @EnumSource
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "usage report", fault = "no complete response")
    void reportWithoutCompleteResponseHasUnknownOutcomeAndIsNotRetried(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            assertThrows(InterfaceOutcomeUnknownException.class, report(server.address()));
            assertEquals(1, server.requests().size());
        }
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_UPSTREAM_ORDERER, step = "upstream order", fault = "connection refused")
    void refusedConnectionMeansNotExecuted() throws IOException {
        InetSocketAddress address = ScriptedServer.refusingAddress();
        assertThrows(InterfaceUnavailableException.class, order(address));
        assertThrows(InterfaceUnavailableException.class, giveBack(address));
        assertThrows(InterfaceUnavailableException.class, report(address));
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 409, 429, 503})
    void refusalMeansNotExecuted(int status) throws IOException {
        try (ScriptedServer server = ScriptedServer.respondingWith(ScriptedServer.status(status))) {
            assertThrows(InterfaceUnavailableException.class, order(server.address()));
            assertThrows(InterfaceUnavailableException.class, report(server.address()));
        }
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SILENCE")
    void failedReadsThrowUnavailable(WireFault fault) throws IOException {
        try (ScriptedServer server = fault.server()) {
            InetSocketAddress address = server.address();
            assertThrows(
                    InterfaceUnavailableException.class,
                    () -> new HttpUpstreamOrdering(client, address, true).list(SERVICE, ZONE));
            assertThrows(InterfaceUnavailableException.class, () -> new HttpVmDirectory(client, address).list());
            assertThrows(
                    InterfaceUnavailableException.class,
                    () -> new HttpWeightStore(client, address).versions(new ModelName("m")));
        }
    }
}
