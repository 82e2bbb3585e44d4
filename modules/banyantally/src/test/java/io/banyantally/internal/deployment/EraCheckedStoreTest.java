package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class EraCheckedStoreTest {

    private static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);
    private static final StoreKey KEY = new StoreKey("a/1");

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore server = new FakeCoordinationStore(clock);
    private final EraCheckedStore store = new EraCheckedStore(server, clock);

    /** Guards against a successor that does not wait long enough for the holder of the former era. */
    @Test
    void eraIsKnownFromItsFirstAnswerOn() throws StoreException {
        assertEquals(Optional.empty(), store.era());
        store.list("a/");
        clock.advance(Duration.ofSeconds(5));
        store.list("a/");
        assertEquals(Duration.ofSeconds(5), store.eraKnownFor());

        server.returnOlder(server.copy());
        store.list("a/");
        clock.advance(Duration.ofSeconds(2));

        assertEquals(Optional.of(new StoreEra(1)), store.era());
        assertEquals(Duration.ofSeconds(2), store.eraKnownFor());
    }

    /** Guards against a renewal that keeps another VM's lease, which has got the number of the own one. */
    @Test
    void leaseOfAnEarlierEraIsNotRenewed() throws StoreException {
        FakeCoordinationStore.Copy copy = server.copy();
        LeaseId own = store.grantLease(TIME_TO_LIVE);
        server.returnOlder(copy);
        LeaseId other = server.grantLease(TIME_TO_LIVE);
        assertEquals(own.value(), other.value());

        assertThrows(LeaseLapsedException.class, () -> store.renewLease(own), "renewal that learns of the era");
        assertThrows(LeaseLapsedException.class, () -> store.renewLease(own), "renewal after that");
    }

    /** Guards against a key that lives as long as another VM's lease. */
    @Test
    void writeUnderALeaseOfAnEarlierEraIsNotTakenForDone() throws StoreException {
        FakeCoordinationStore.Copy copy = server.copy();
        LeaseId own = store.grantLease(TIME_TO_LIVE);
        server.returnOlder(copy);
        server.grantLease(TIME_TO_LIVE);
        StoreTransaction write = StoreTransaction.put(KEY, new byte[] {1}, Optional.of(own));

        assertThrows(OutcomeUnknownException.class, () -> store.apply(write), "write that learns of the era");
        assertThrows(LeaseLapsedException.class, () -> store.apply(write), "write after that");
    }

    /** Guards against changes that a watch misses because the store has passed its revision again. */
    @Test
    void watchFromARevisionOfAnEarlierEraDoesNotGoOn() throws StoreException {
        FakeCoordinationStore.Copy copy = server.copy();
        server.write("a/lost", new byte[] {1});
        StoreRevision position = store.list("a/").revision();
        server.returnOlder(copy);
        server.write("a/2", new byte[] {1});
        server.write("a/3", new byte[] {1});

        assertThrows(HistoryDiscardedException.class, () -> store.awaitChanges("a/", position, Duration.ZERO), "first");
        assertThrows(
                HistoryDiscardedException.class, () -> store.awaitChanges("a/", position, Duration.ZERO), "second");
    }

    /** Guards against an answer of the former era that is delayed and arrives after one of the new era. */
    @Test
    void lateAnswerOfAnEarlierEraIsDiscarded() throws StoreException {
        FakeCoordinationStore former = new FakeCoordinationStore(clock);
        FakeCoordinationStore current = new FakeCoordinationStore(clock);
        current.returnOlder(current.copy());
        SwitchedStore switched = new SwitchedStore(current);
        EraCheckedStore checked = new EraCheckedStore(switched, clock);
        checked.list("a/");

        switched.use(former);

        assertThrows(StoreUnavailableException.class, () -> checked.list("a/"));
        assertThrows(OutcomeUnknownException.class, () -> checked.grantLease(TIME_TO_LIVE));
        assertEquals(Optional.of(new StoreEra(1)), checked.era());
    }
}
