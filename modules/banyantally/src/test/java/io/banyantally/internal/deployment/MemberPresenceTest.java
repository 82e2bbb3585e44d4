package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

final class MemberPresenceTest {

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final MemberEntry entry = new MemberEntry(new VmId("vm-1"), new AvailabilityZone("zone-a"), "a:1", "a:2");

    /** Guards against a VM that is listed again while it shuts down. */
    @Test
    void withdrawnEntryIsNotPublishedAgain() {
        MemberPresence presence = presence(store);
        presence.refresh();

        presence.withdraw();
        presence.refresh();

        assertEquals(0, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against sending callers to a VM that shuts down for seconds because one write was lost. */
    @Test
    void lostWithdrawalIsRepeated() {
        DeletionLosingStore lossyStore = new DeletionLosingStore(store, 1);
        MemberPresence presence = presence(lossyStore);
        presence.refresh();

        presence.withdraw();
        presence.refresh();

        assertEquals(0, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against a shutdown that deletes the entry of the process that has replaced the one shutting down. */
    @Test
    void withdrawalLeavesTheEntryOfALaterProcessOfTheVm() {
        MemberPresence first = presence(store);
        first.refresh();
        MemberPresence second = presence(store);
        second.refresh();

        first.withdraw();
        second.refresh();

        assertEquals(1, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against a live VM that gets no callers, as the store came back from a copy without its entry. */
    @Test
    void entryIsPublishedWithinOneRefreshAfterTheStoreLostIt() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        MemberPresence presence = presence(store);
        presence.refresh();
        store.returnOlder(copy);
        store.grantLease(MemberPresence.TIME_TO_LIVE);

        presence.refresh();

        assertEquals(1, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against an entry that expires although its VM serves, as the store came back from an older copy. */
    @Test
    void entryOfAnOlderCopyIsHeldByALeaseOfItsOwnAgain() {
        MemberPresence presence = presence(store);
        presence.refresh();
        FakeCoordinationStore.Copy copy = store.copy();
        clock.advance(MemberPresence.RENEWAL_INTERVAL);
        store.returnOlder(copy);

        presence.refresh();
        clock.advance(MemberPresence.TIME_TO_LIVE.minusMillis(1));

        assertEquals(1, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against sending callers to a VM that shuts down, as the store came back with its entry. */
    @Test
    void withdrawnEntryIsRemovedAgainAfterTheStoreReturnedWithIt() throws StoreException {
        EraCheckedStore checked = new EraCheckedStore(store, clock);
        MemberPresence presence = new MemberPresence(
                checked, () -> checked.era().orElse(StoreEra.UNKNOWN), entry, new StoreHealth(clock));
        presence.refresh();
        FakeCoordinationStore.Copy copy = store.copy();
        presence.withdraw();
        store.returnOlder(copy);
        checked.list("any prefix");

        presence.refresh();

        assertEquals(0, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against a live VM that is no longer listed: an older write took effect late, under a lease that ends. */
    @Test
    void lateWriteOfAnEarlierAttemptDoesNotEndTheEntry() throws StoreException {
        LatePutStore late = new LatePutStore(store);
        MemberPresence presence = presence(late);
        late.delayNext = true;
        presence.refresh();
        clock.advance(MemberPresence.RENEWAL_INTERVAL.multipliedBy(2));
        presence.refresh();
        assertThrows(RevisionConflictException.class, late::deliver);

        for (int round = 0; round < 10; round++) {
            clock.advance(MemberPresence.RENEWAL_INTERVAL);
            presence.refresh();
        }

        assertEquals(1, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    private MemberPresence presence(CoordinationStore usedStore) {
        EraCheckedStore checked = new EraCheckedStore(usedStore, clock);
        return new MemberPresence(checked, () -> checked.era().orElse(StoreEra.UNKNOWN), entry, new StoreHealth(clock));
    }

    /** A store that loses the first deletions. */
    private static final class DeletionLosingStore implements CoordinationStore {

        private final CoordinationStore store;
        private int deletionsToLose;

        DeletionLosingStore(CoordinationStore store, int deletionsToLose) {
            this.store = store;
            this.deletionsToLose = deletionsToLose;
        }

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return store.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            return store.awaitChanges(prefix, after, wait);
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            if (!transaction.deletes().isEmpty() && deletionsToLose > 0) {
                deletionsToLose--;
                throw new OutcomeUnknownException("no answer");
            }
            return store.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return store.renewLease(lease);
        }
    }

    /** A store that applies one transaction late, without an answer. */
    private static final class LatePutStore implements CoordinationStore {

        private final CoordinationStore store;
        private boolean delayNext;
        private StoreTransaction delayed;

        LatePutStore(CoordinationStore store) {
            this.store = store;
        }

        void deliver() throws StoreException {
            StoreRevision _ = store.apply(delayed);
        }

        @Override
        public StoreListing list(String prefix) throws StoreException {
            return store.list(prefix);
        }

        @Override
        public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
            return store.awaitChanges(prefix, after, wait);
        }

        @Override
        public StoreRevision apply(StoreTransaction transaction) throws StoreException {
            if (delayNext) {
                delayNext = false;
                delayed = transaction;
                throw new OutcomeUnknownException("no answer");
            }
            return store.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public StoreEra renewLease(LeaseId lease) throws StoreException {
            return store.renewLease(lease);
        }
    }
}
