package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.OutcomeUnknownException;
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
    void withdrawnEntryStaysAway() {
        MemberPresence presence = presence(store);
        presence.refresh();

        presence.withdraw();
        presence.refresh();

        assertEquals(0, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against callers who are sent for seconds to a VM that shuts down because one write was lost. */
    @Test
    void withdrawalThatIsLostOnceIsRepeated() {
        LosingDeletionsStore losing = new LosingDeletionsStore(store, 1);
        MemberPresence presence = presence(losing);
        presence.refresh();

        presence.withdraw();
        presence.refresh();

        assertEquals(0, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    /** Guards against a process whose shutdown takes the entry of the process that has replaced it away for good. */
    @Test
    void withdrawalLeavesTheEntryOfALaterProcessOfTheVm() {
        MemberPresence former = presence(store);
        former.refresh();
        MemberPresence later = presence(store);
        later.refresh();

        former.withdraw();
        later.refresh();

        assertEquals(1, store.keys(GatewayStoreKeys.LIVE_PREFIX).size());
    }

    private MemberPresence presence(CoordinationStore used) {
        return new MemberPresence(used, entry, new StoreHealth(clock));
    }

    /** A store to which the first deletions do not come through. */
    private static final class LosingDeletionsStore implements CoordinationStore {

        private final CoordinationStore store;
        private int left;

        LosingDeletionsStore(CoordinationStore store, int left) {
            this.store = store;
            this.left = left;
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
            if (!transaction.deletes().isEmpty() && left > 0) {
                left--;
                throw new OutcomeUnknownException("no answer");
            }
            return store.apply(transaction);
        }

        @Override
        public LeaseId grantLease(Duration timeToLive) throws StoreException {
            return store.grantLease(timeToLive);
        }

        @Override
        public void renewLease(LeaseId lease) throws StoreException {
            store.renewLease(lease);
        }
    }
}
