package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.VmId;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class DutyLeaseTest {

    private static final Duration TIME_TO_LIVE = Duration.ofMillis(3500);

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final Vm first = new Vm("vm-1");
    private final Vm second = new Vm("vm-2");

    /** Guards against two VMs that both order upstreams. */
    @Test
    void onlyOneVmHoldsTheDuties() throws StoreException {
        first.round();
        second.round();

        assertTrue(first.lease.held().isPresent());
        assertFalse(second.lease.held().isPresent());
    }

    /** Guards against a successor whose orders look older than those of the VM before it. */
    @Test
    void successorHasAHigherFencingNumberAndWaitsForTheLeaseToLapse() throws StoreException {
        first.round();
        long firstNumber = first.lease.held().orElseThrow().fencing().value();
        first.lease.stop();
        second.round();
        assertFalse(second.lease.held().isPresent(), "the lease of the first VM still runs");

        clock.advance(TIME_TO_LIVE);
        second.round();

        assertTrue(second.lease.held().orElseThrow().fencing().value() > firstNumber);
    }

    /** Guards against a VM that takes the duties, loses the answer, and leaves them without a holder. */
    @Test
    void recognisesItsOwnWriteAfterALostAnswer() throws StoreException {
        store.loseAnswers(1);
        first.round();
        assertFalse(first.lease.held().isPresent());

        first.round();

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against an order by a VM that was paused past the end of its lease. */
    @Test
    void pausedHolderLosesItsPermission() throws StoreException {
        first.round();
        DutyHolder holder = first.lease.held().orElseThrow();

        clock.advance(TIME_TO_LIVE);

        assertFalse(holder.permission().isGranted());
        assertFalse(first.lease.held().isPresent());
    }

    /** Guards against a suspended VM: its monotonic clock stands still while its lease runs out. */
    @Test
    void holderThatWasSuspendedLosesItsPermission() throws StoreException {
        first.round();
        DutyHolder holder = first.lease.held().orElseThrow();

        first.timeOfDay.addAndGet(TIME_TO_LIVE.toMillis());

        assertFalse(holder.permission().isGranted());
    }

    /** Guards against a holder that goes on with an old term after another VM has held the duties in between. */
    @Test
    void permissionOfAnEarlierTermIsNotGrantedInALaterOne() throws StoreException {
        first.round();
        DutyHolder earlier = first.lease.held().orElseThrow();
        clock.advance(TIME_TO_LIVE);
        second.round();
        first.round();
        first.round();
        clock.advance(TIME_TO_LIVE);
        first.round();
        first.round();

        assertTrue(first.lease.held().isPresent());
        assertFalse(earlier.permission().isGranted());
    }

    /** Guards against a holder that goes on when all leases lapse with the store. */
    @Test
    void lapsedLeaseEndsTheTerm() throws StoreException {
        first.round();
        store.lapseAllLeases();
        first.round();

        assertFalse(first.lease.held().isPresent());
        assertEquals(0, store.keys(GatewayStoreKeys.DUTY_HOLDER.path()).size());
    }

    private final class Vm {
        private final AtomicLong timeOfDay = new AtomicLong();
        private final MemberList members = new MemberList();
        private final StoreFeed feed = new StoreFeed(store, GatewayStoreKeys.LIVE_PREFIX, members);
        private final DutyLease lease;

        Vm(String name) {
            lease = new DutyLease(
                    store,
                    members,
                    new StoreHealth(clock),
                    new WallClock(clock, timeOfDay::get),
                    new VmId(name),
                    "lifetime-of-" + name,
                    TIME_TO_LIVE);
        }

        void round() throws StoreException {
            feed.deliver();
            lease.refresh();
            feed.deliver();
        }
    }
}
