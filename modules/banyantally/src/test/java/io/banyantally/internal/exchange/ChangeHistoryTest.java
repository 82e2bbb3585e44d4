package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import io.banyantally.testing.ManualClock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class ChangeHistoryTest {

    private final ChangeHistory history = new ChangeHistory(new ManualClock());

    /** Guards against an upstream or key that returns because a delegate lags behind the VM that asks it. */
    @Test
    void historyThatLagsBehindTheAskerReturnsNothing() {
        history.restart(new StoreRevision(5));
        history.add(changes("a", 8), true);

        assertEquals(
                Optional.of(new StoreChanges(List.of(), new StoreRevision(12))), history.after(new StoreRevision(12)));
    }

    /** Guards against changes that are missed because a delegate has started after the VM that asks it. */
    @Test
    void historyThatStartsAfterTheAskerIsNotUsed() {
        history.restart(new StoreRevision(5));

        assertEquals(Optional.empty(), history.after(new StoreRevision(4)));
    }

    /** Guards against changes that are skipped between two batches. */
    @Test
    void allBatchesAfterTheRevisionAreReturnedInOrder() {
        history.restart(new StoreRevision(5));
        history.add(changes("a", 6), true);
        history.add(changes("b", 7), true);
        history.add(changes("c", 9), false);

        StoreChanges after = history.after(new StoreRevision(6)).orElseThrow();

        assertEquals(
                List.of("b", "c"),
                after.changes().stream().map(change -> change.key().path()).toList());
        assertEquals(new StoreRevision(9), after.revision());
    }

    /** Guards against a heap that is full of values that are never relayed; the newest configurations may be such. */
    @Test
    void valuesThatAreNotRelayedAreNotKept() {
        history.restart(new StoreRevision(5));
        history.add(written("a", 6, RelayedStore.MAXIMUM_RELAYED_BYTES + 1), true);

        assertEquals(Optional.empty(), history.after(new StoreRevision(5)));
        assertEquals(
                Optional.of(new StoreChanges(List.of(), new StoreRevision(6))), history.after(new StoreRevision(6)));
    }

    /** Guards against a heap that is full of values which together are not relayed, to any VM that lacks them. */
    @Test
    void batchesThatTogetherAreNotRelayedAreNotKept() {
        history.restart(new StoreRevision(5));
        int half = RelayedStore.MAXIMUM_RELAYED_BYTES / 2;
        history.add(written("a", 6, half), true);
        history.add(written("b", 7, half), true);
        assertEquals(
                2, history.after(new StoreRevision(5)).orElseThrow().changes().size());

        history.add(written("c", 8, 1), true);

        assertEquals(Optional.empty(), history.after(new StoreRevision(5)));
        assertEquals(
                2, history.after(new StoreRevision(6)).orElseThrow().changes().size());
    }

    /** Guards against a heap that is full of the keys of removed entries. */
    @Test
    void changesBeyondALimitAreNotKept() {
        history.restart(new StoreRevision(5));
        List<StoreChange> removals = new ArrayList<>();
        for (int number = 0; number <= ChangeHistory.MAXIMUM_CHANGES; number++) {
            removals.add(new StoreChange.Removed(new StoreKey("a" + number)));
        }
        history.add(new StoreChanges(removals, new StoreRevision(6)), true);

        assertTrue(history.after(new StoreRevision(5)).isEmpty());
    }

    private static StoreChanges written(String key, long revision, int bytes) {
        StoreRevision at = new StoreRevision(revision);
        StoreItem item = new StoreItem(new StoreKey(key), new VersionedValue(new byte[bytes], at), at);
        return new StoreChanges(List.of(new StoreChange.Written(item)), at);
    }

    /** Guards against changes of the new era that are missed, as its revisions are lower than those of the asker. */
    @Test
    void historyOfAnotherEraIsNotUsed() {
        history.restart(new StoreRevision(new StoreEra(2), 5));

        assertEquals(Optional.empty(), history.after(new StoreRevision(new StoreEra(1), 12)));
        assertEquals(Optional.empty(), history.after(new StoreRevision(new StoreEra(3), 12)));
    }

    private static StoreChanges changes(String key, long revision) {
        return new StoreChanges(List.of(new StoreChange.Removed(new StoreKey(key))), new StoreRevision(revision));
    }
}
