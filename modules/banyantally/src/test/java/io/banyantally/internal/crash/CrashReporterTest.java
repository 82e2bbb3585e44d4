package io.banyantally.internal.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

final class CrashReporterTest {

    private static final ReplicaEntry ENGINE = new ReplicaEntry(
            new UpstreamId("engine-1"),
            Deployments.ENGINES,
            InetSocketAddress.createUnresolved("engine", 1),
            new AvailabilityZone("zone-a"),
            4,
            false,
            EngineStage.NONE,
            false,
            OptionalLong.of(7),
            OptionalLong.empty(),
            new SoftwareVersion("v1"));

    private static final PromptMetadata PROMPT =
            new PromptMetadata(200, 10, List.of(new PromptPart("first", 100), new PromptPart("request", 100)));

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private StoreEra era = StoreEra.UNKNOWN;

    /** Guards against losing the report of a crash to a short outage of the store. */
    @Test
    void crashIsReportedOnceTheStoreReturns() {
        store.setDown(true);

        breakOff(true, true, () -> store.setDown(false));

        assertEquals(1, reports());
    }

    /** Guards against taking a reset connection, or an answer that was lost, for a crash. */
    @Test
    void answerBrokenOffByARunningUpstreamIsNotReported() {
        breakOff(true, false, () -> {});

        assertEquals(0, reports());
    }

    /** Guards against taking the planned end of an upstream for a crash. */
    @Test
    void upstreamThatLeavesIsNotReported() {
        breakOff(false, true, () -> {});

        assertEquals(0, reports());
    }

    /** Guards against a restarted VM that sends a crashing prompt again, as the store came back without the report. */
    @Test
    void reportIsWrittenAgainAfterTheStoreLostIt() {
        FakeCoordinationStore.Copy copy = store.copy();
        CrashReporter reporter = reporter(true, true, () -> {});
        reporter.recordBrokenOff(ENGINE, PROMPT);
        store.returnOlder(copy);
        era = new StoreEra(1);

        reporter.restoreReports();

        assertEquals(1, reports());
    }

    /** Guards against a report that counts again after it was cleared, as it is written again without need. */
    @Test
    void reportThatTheCopyHasIsNotWrittenAgain() throws StoreException {
        CrashReporter reporter = reporter(true, true, () -> {});
        reporter.recordBrokenOff(ENGINE, PROMPT);
        StoreRevision former = revision();
        store.returnOlder(store.copy());
        era = new StoreEra(1);

        reporter.restoreReports();

        assertEquals(former.value(), revision().value());
    }

    private StoreRevision revision() throws StoreException {
        return store.list(CrashStoreKeys.PREFIX).items().getFirst().versioned().revision();
    }

    private void breakOff(boolean inService, boolean ended, Runnable whileWaiting) {
        reporter(inService, ended, whileWaiting).recordBrokenOff(ENGINE, PROMPT);
    }

    private CrashReporter reporter(boolean inService, boolean ended, Runnable whileWaiting) {
        return new CrashReporter(
                store,
                () -> era,
                new CrashLedger(clock),
                upstream -> inService,
                upstream -> ended,
                new VmId("vm-1"),
                Runnable::run,
                duration -> {
                    if (duration.compareTo(CrashReporter.COLLECTION_TIME) > 0) {
                        whileWaiting.run();
                    }
                },
                clock);
    }

    private int reports() {
        return store.keys(CrashStoreKeys.PREFIX).size();
    }
}
