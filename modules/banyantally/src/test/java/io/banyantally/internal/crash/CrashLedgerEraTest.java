package io.banyantally.internal.crash;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The crashes of upstreams when the store comes back from a copy that is older than their reports. */
final class CrashLedgerEraTest {

    private static final PromptMetadata PROMPT =
            new PromptMetadata(200, 10, List.of(new PromptPart("first", 100), new PromptPart("request", 100)));
    private static final List<String> PARTS = PromptPartKey.sharedParts(Deployments.ENGINES, PROMPT).stream()
            .map(PromptPartKey::value)
            .toList();

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final CrashLedger ledger = new CrashLedger(clock);
    private final StoreFeed feed = new StoreFeed(store, CrashStoreKeys.PREFIX, ledger);
    private final FakeCoordinationStore.Copy empty = store.copy();
    private int crashes;

    @BeforeEach
    void list() throws StoreException {
        feed.deliver();
    }

    /** Guards against reports that never count, since their revisions are below that at which the part was served. */
    @Test
    void reportsAfterTheReturnCount() throws StoreException {
        reportCrashes(CrashAttribution.EPISODES_TO_BLAME);
        ledger.recordServed(Deployments.ENGINES, PROMPT);
        returnOlder(empty);

        reportCrashes(CrashAttribution.EPISODES_TO_BLAME);

        assertTrue(isCrashing());
    }

    /** Guards against sending a prompt again that crashes upstreams, since the copy lacks the reports. */
    @Test
    void reportsThatTheCopyLacksCountForTheirLifetime() throws StoreException {
        reportCrashes(CrashAttribution.EPISODES_TO_BLAME);
        returnOlder(empty);
        assertTrue(isCrashing());

        clock.advance(CrashReporter.LIFETIME);
        feed.deliver();
        assertFalse(isCrashing());
    }

    /** Guards against refusing a sound prompt, since the copy lacks that it was served. */
    @Test
    void partThatWasServedIsNotBlamedAgain() throws StoreException {
        reportCrashes(CrashAttribution.EPISODES_TO_BLAME);
        FakeCoordinationStore.Copy copy = store.copy();
        PARTS.forEach(part ->
                store.write(CrashStoreKeys.cleared(new PromptPartKey(part)).path(), new byte[0]));
        feed.deliver();
        assertFalse(isCrashing());

        returnOlder(copy);

        assertFalse(isCrashing());
    }

    private boolean isCrashing() {
        return ledger.isCrashing(Deployments.ENGINES, PROMPT);
    }

    private void reportCrashes(int count) throws StoreException {
        for (int crash = 0; crash < count; crash++) {
            crashes++;
            CrashReport report = new CrashReport("engine-" + crashes, crashes, PARTS);
            store.write(
                    CrashStoreKeys.report(report.upstream(), new VmId("vm-1"), crashes)
                            .path(),
                    WireFormat.encode(report));
        }
        feed.deliver();
    }

    private void returnOlder(FakeCoordinationStore.Copy copy) throws StoreException {
        store.returnOlder(copy);
        feed.listAgain();
    }
}
