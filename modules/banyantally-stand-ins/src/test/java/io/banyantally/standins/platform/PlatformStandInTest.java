package io.banyantally.standins.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpKeyValueStore;
import io.banyantally.internal.adapter.HttpUpstreamOrdering;
import io.banyantally.internal.adapter.HttpUsageReportSink;
import io.banyantally.internal.adapter.HttpWeightStore;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ModelName;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.UsageFigures;
import io.banyantally.platform.UsageReport;
import io.banyantally.testing.FaultRow;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against milder faults than those of a real platform: a call whose answer is lost must still take effect. */
final class PlatformStandInTest {

    private static final ServiceName SERVICE = new ServiceName("asistente");
    private static final AvailabilityZone ZONE = new AvailabilityZone("quito-n");
    private static final StoreKey KEY = new StoreKey("configuration/manifest");
    private static final Duration AMPLE_TIME = Duration.ofSeconds(20);
    private static final byte[] VALUE = {7};
    private static final FaultSettings LOST_ANSWERS = new FaultSettings(false, 0, 0, 1, 1);
    private static final FaultSettings DOWN = new FaultSettings(true, 0, 0, 0, 1);

    private final AdapterHttpClient client = AdapterHttpClient.start();
    private PlatformStandIn platform;
    private HttpKeyValueStore store;

    @BeforeEach
    void start() throws IOException, StoreException {
        start(new OrderingOptions());
        // Loads the classes of a call, so that no later one runs into its short time limit on a busy machine.
        store.get(KEY);
    }

    private void start(OrderingOptions options) throws IOException {
        platform = PlatformStandIn.start(0, options, 2, 0);
        store = new HttpKeyValueStore(client, platform.address(), AMPLE_TIME);
    }

    @AfterEach
    void stop() {
        client.close();
        platform.close();
    }

    @Test
    @FaultRow(promise = Promise.CONFIGURATION_NEVER_REVERTS, step = "write", fault = "answer lost after the effect")
    void writeWithLostAnswerIsUnknownAndTakesEffect() throws Exception {
        platform.setFaults(PlatformInterface.KEY_VALUE, LOST_ANSWERS);
        assertThrows(OutcomeUnknownException.class, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        platform.setFaults(PlatformInterface.KEY_VALUE, FaultSettings.NONE);
        assertArrayEquals(VALUE, store.get(KEY).orElseThrow().value());
        RevisionConflictException conflict = assertThrows(
                RevisionConflictException.class, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        assertEquals(store.get(KEY).orElseThrow().revision(), conflict.currentRevision());
    }

    @Test
    void writeDuringAnOutageHasNoEffect() throws Exception {
        platform.setFaults(PlatformInterface.KEY_VALUE, DOWN);
        assertThrows(OutcomeUnknownException.class, () -> store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        platform.setFaults(PlatformInterface.KEY_VALUE, FaultSettings.NONE);
        assertTrue(store.get(KEY).isEmpty());
    }

    @Test
    void slowWriteIsUnknownAndTakesEffectLater() throws Exception {
        assertTrue(store.get(KEY).isEmpty());
        platform.setFaults(PlatformInterface.KEY_VALUE, new FaultSettings(false, 3000, 0, 0, 1));
        HttpKeyValueStore shortLimitStore = new HttpKeyValueStore(client, platform.address(), Duration.ofSeconds(1));
        assertThrows(
                OutcomeUnknownException.class, () -> shortLimitStore.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE));
        platform.setFaults(PlatformInterface.KEY_VALUE, FaultSettings.NONE);
        ChangeNotice notice = store.awaitChange(KEY, StoreRevision.ABSENT, Duration.ofSeconds(20));
        assertTrue(notice.changed());
    }

    @Test
    void lapsedLeaseRemovesItsKey() throws Exception {
        LeaseId lease = store.grantLease(Duration.ofMillis(200));
        StoreRevision written = store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE, lease);
        ChangeNotice notice = store.awaitChange(KEY, written, Duration.ofSeconds(20));
        assertTrue(notice.changed() && notice.value().isEmpty());
        assertThrows(LeaseLapsedException.class, () -> store.renewLease(lease));
        store.revokeLease(lease);
    }

    @Test
    void waitingWatchCountsAsOneCall() throws Exception {
        CompletableFuture<ChangeNotice> waiting = CompletableFuture.supplyAsync(() -> {
            try {
                return store.awaitChange(KEY, StoreRevision.ABSENT, Duration.ofSeconds(20));
            } catch (StoreException failure) {
                throw new IllegalStateException(failure);
            }
        });
        store.compareAndSwap(KEY, StoreRevision.ABSENT, VALUE);
        assertTrue(waiting.get().changed());
        assertTrue(platform.report().calls().contains(new CallCount("POST /key-value/watch", 1)));
        assertEquals(
                false,
                store.awaitChange(KEY, new StoreRevision(1), Duration.ofMillis(50))
                        .changed());
    }

    @Test
    @FaultRow(promise = Promise.SINGLE_UPSTREAM_ORDERER, step = "upstream order", fault = "answer lost")
    void orderRepeatedWithItsTokenAfterALostAnswerRunsOnce() throws Exception {
        HttpUpstreamOrdering ordering = new HttpUpstreamOrdering(client, platform.address(), true);
        OrderToken token = new OrderToken("asistente/quito-n/3/1");
        platform.setFaults(PlatformInterface.UPSTREAMS, LOST_ANSWERS);
        assertThrows(
                InterfaceOutcomeUnknownException.class,
                () -> ordering.order(SERVICE, ZONE, true, token, new FencingNumber(3)));
        platform.setFaults(PlatformInterface.UPSTREAMS, FaultSettings.NONE);
        UpstreamId id = ordering.order(SERVICE, ZONE, true, token, new FencingNumber(3));
        assertEquals(1, ordering.list(SERVICE, ZONE).size());
        assertEquals(id, ordering.list(SERVICE, ZONE).getFirst().id());
        ordering.giveBack(id, new FencingNumber(3));
        ordering.giveBack(id, new FencingNumber(3));
        assertEquals(List.of(), ordering.list(SERVICE, ZONE));
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "upstream order", fault = "old fencing number")
    void orderWithAnOldFencingNumberIsRefused() throws Exception {
        HttpUpstreamOrdering ordering = new HttpUpstreamOrdering(client, platform.address(), true);
        ordering.order(SERVICE, ZONE, false, new OrderToken("a"), new FencingNumber(5));
        assertThrows(
                InterfaceUnavailableException.class,
                () -> ordering.order(SERVICE, ZONE, false, new OrderToken("b"), new FencingNumber(4)));
        assertEquals(1, ordering.list(SERVICE, ZONE).size());
        assertEquals(List.of(), platform.report().violations());
    }

    @Test
    void platformThatIgnoresFencingReportsTheOldOrder() throws Exception {
        platform.close();
        start(new OrderingOptions().ignoringFencing());
        HttpUpstreamOrdering ordering = new HttpUpstreamOrdering(client, platform.address(), true);
        ordering.order(SERVICE, ZONE, false, new OrderToken("a"), new FencingNumber(5));
        ordering.order(SERVICE, ZONE, false, new OrderToken("b"), new FencingNumber(4));
        assertEquals(
                Violation.Kind.ORDER_WITH_OLD_FENCING_NUMBER,
                platform.report().violations().getFirst().kind());
    }

    @Test
    void usageWindowWithOtherFiguresIsRefusedAndReported() throws Exception {
        HttpUsageReportSink sink = new HttpUsageReportSink(client, platform.address());
        ClientAccountId account = new ClientAccountId("taller-norte");
        UsageReport report = new UsageReport(account, 3, new UsageFigures(10, 20, 1), UsageFigures.ZERO);
        sink.report(report, new FencingNumber(2));
        sink.report(report, new FencingNumber(3));
        assertEquals(List.of(), platform.report().violations());
        UsageReport other = new UsageReport(account, 3, new UsageFigures(10, 21, 1), UsageFigures.ZERO);
        assertThrows(InterfaceUnavailableException.class, () -> sink.report(other, new FencingNumber(3)));
        UsageReport old = new UsageReport(account, 4, UsageFigures.ZERO, UsageFigures.ZERO);
        sink.report(old, new FencingNumber(2));
        assertEquals(
                List.of(
                        Violation.Kind.USAGE_WINDOW_WITH_OTHER_FIGURES,
                        Violation.Kind.USAGE_WINDOW_WITH_OLD_FENCING_NUMBER),
                platform.report().violations().stream().map(Violation::kind).toList());
    }

    @Test
    void weightStoreLimitsItsReads() throws Exception {
        HttpWeightStore weights = new HttpWeightStore(client, platform.address());
        assertEquals(List.of("2", "1"), weights.versions(new ModelName("m")));
        assertThrows(InterfaceUnavailableException.class, () -> {
            for (int read = 0; read < 1000; read++) {
                weights.versions(new ModelName("m"));
            }
        });
    }
}
