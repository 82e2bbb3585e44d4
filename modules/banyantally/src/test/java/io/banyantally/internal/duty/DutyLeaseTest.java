package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.deployment.EraCheckedStore;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.WallClock;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

final class DutyLeaseTest {

    private static final DutyTimes TIMES = DutyTimes.withoutTurnsWithin(Duration.ofSeconds(3));

    private static final Duration TIME_TO_LIVE = TIMES.timeToLive();

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    /** Until a VM that is elected at its second try may act. */
    private static final int ROUNDS_TO_ACT =
            (int) TIMES.takeoverWait().plus(DutyLease.RETRY_DELAY).dividedBy(DutyLease.INTERVAL) + 1;

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final Vm first = new Vm("vm-1");
    private final Vm second = new Vm("vm-2");

    /** Guards against a last call of the former holder that arrives after the first one of the next. */
    @Test
    void newHolderWaitsForTheLastCallOfTheFormerOne() throws StoreException {
        first.takeDuties();
        long lastPermissionAt = clock.nanoTime();
        while (second.lease.held().isEmpty()) {
            if (first.lease.held().isPresent()) {
                lastPermissionAt = clock.nanoTime();
            }
            clock.advance(Duration.ofMillis(10));
            second.round();
        }

        Duration between = clock.since(lastPermissionAt);
        assertTrue(between.compareTo(Duration.ofMillis(1800)) >= 0, "between both: " + between);
    }

    /** Guards against two VMs that both act as holder, and so both order upstreams. */
    @Test
    void onlyOneVmHoldsTheDuties() throws StoreException {
        first.takeDuties();
        for (int round = 0; round < ROUNDS_TO_ACT; round++) {
            first.rounds(1);
            second.round();
            assertFalse(second.lease.held().isPresent());
        }

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against a new holder whose orders carry a lower fencing number than those of the previous one. */
    @Test
    void newHolderHasAHigherFencingNumberAndWaitsForTheLeaseToExpire() throws StoreException {
        first.takeDuties();
        long firstNumber = first.lease.held().orElseThrow().fencing().value();
        first.lease.stop();
        second.rounds(2);
        assertEquals(
                firstNumber,
                second.members.dutyHolder().orElseThrow().versioned().revision().value(),
                "the lease of the first VM has not expired");

        clock.advance(TIME_TO_LIVE);
        second.takeDuties();

        assertTrue(second.lease.held().orElseThrow().fencing().value() > firstNumber);
    }

    /** Guards against duties without a holder: a VM writes the key, and the response to the write is lost. */
    @Test
    void recognisesItsOwnWriteAfterALostResponse() throws StoreException {
        store.loseAnswers(1);
        first.round();
        assertFalse(first.lease.held().isPresent());

        first.takeDuties();

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against an order by a VM whose process was paused past the expiry of its lease. */
    @Test
    void pausedHolderLosesItsPermission() throws StoreException {
        first.takeDuties();
        DutyHolder holder = first.lease.held().orElseThrow();

        clock.advance(TIME_TO_LIVE);

        assertFalse(holder.permission().isGranted());
        assertFalse(first.lease.held().isPresent());
    }

    /** Guards against an order by a VM that was suspended: its monotonic clock stops while its lease expires. */
    @Test
    void holderThatWasSuspendedLosesItsPermission() throws StoreException {
        first.takeDuties();
        DutyHolder holder = first.lease.held().orElseThrow();

        first.timeOfDay.addAndGet(TIME_TO_LIVE.toMillis());

        assertFalse(holder.permission().isGranted());
    }

    /** Guards against acting with the permission of an old term after another VM has held the duties in between. */
    @Test
    void permissionOfAnEarlierTermIsNotGrantedInALaterOne() throws StoreException {
        first.takeDuties();
        DutyHolder earlier = first.lease.held().orElseThrow();
        clock.advance(TIME_TO_LIVE);
        second.round();
        first.round();
        first.round();
        clock.advance(TIME_TO_LIVE);
        first.round();
        first.takeDuties();

        assertTrue(first.lease.held().isPresent());
        assertFalse(earlier.permission().isGranted());
    }

    /** Guards against a holder that still acts after the store has dropped all leases. */
    @Test
    void expiredLeaseEndsTheTerm() throws StoreException {
        first.takeDuties();
        store.lapseAllLeases();
        first.round();

        assertFalse(first.lease.held().isPresent());
        assertEquals(0, store.keys(GatewayStoreKeys.DUTY_HOLDER.path()).size());
    }

    /** Guards against a VM that takes up its former term, with its lower number, beside the VM elected since. */
    @Test
    void formerEntryShownAgainByARepeatedBatchStartsNoTerm() throws StoreException {
        first.takeDuties();
        StoreItem formerEntry = first.members.dutyHolder().orElseThrow();
        clock.advance(TIME_TO_LIVE);
        first.round();
        assertTrue(first.lease.held().isEmpty(), "the term ended with its lease");
        first.members.changed(new StoreChanges(
                List.of(new StoreChange.Removed(GatewayStoreKeys.DUTY_HOLDER)), formerEntry.created()));
        second.takeDuties();
        first.lease.refresh();
        first.members.changed(new StoreChanges(List.of(new StoreChange.Written(formerEntry)), formerEntry.created()));

        for (int round = 0; round < ROUNDS_TO_ACT; round++) {
            second.rounds(1);
            first.lease.refresh();
            assertFalse(first.lease.held().isPresent());
        }

        assertTrue(second.lease.held().isPresent());
    }

    /** Guards against a write that takes effect under a lease whose later attempts were refused. */
    @Test
    void recognisesAWriteOfAnyAttemptUnderItsLease() throws StoreException {
        store.loseAnswers(1);
        first.lease.refresh();
        clock.advance(DutyLease.RETRY_DELAY);
        first.lease.refresh();
        assertFalse(first.lease.held().isPresent(), "the watch has not shown the entry");

        first.takeDuties();

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against duties that wait for their permission while the store is slow, or a stop that waits for it. */
    @Test
    void slowRenewalDelaysNeitherPermissionNorStop() throws StoreException {
        first.takeDuties();
        DutyHolder holder = first.lease.held().orElseThrow();
        List<Boolean> permissions = new ArrayList<>();
        first.link.setBeforeRenewal(() -> {
            permissions.add(inOtherThread(() -> holder.permission().isGranted()));
            CompletableFuture<Void> _ = CompletableFuture.runAsync(first.lease::stop);
            awaitUntil(() -> !inOtherThread(() -> holder.permission().isGranted()));
        });
        clock.advance(DutyLease.RENEWAL_INTERVAL);

        first.lease.refresh();

        assertEquals(List.of(true), permissions);
    }

    private static boolean inOtherThread(BooleanSupplier question) {
        return CompletableFuture.supplyAsync(question::getAsBoolean)
                .orTimeout(5, TimeUnit.SECONDS)
                .join();
    }

    private static void awaitUntil(BooleanSupplier condition) {
        long startedAt = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - startedAt < TimeUnit.SECONDS.toNanos(5), "waited for too long");
        }
    }

    /** Guards against duties that rest, a second after a call without a response, until the next renewal. */
    @Test
    void renewalWithoutAResponseIsRepeatedAtOnce() throws StoreException {
        first.takeDuties();
        first.link.setLosesResponses(true);
        first.link.setBeforeRenewal(() -> {
            clock.advance(CALL_TIMEOUT);
            first.link.setBeforeRenewal(() -> first.link.setLosesResponses(false));
        });
        clock.advance(DutyLease.RENEWAL_INTERVAL);
        first.lease.refresh();

        clock.advance(DutyLease.RENEWAL_INTERVAL);

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against an election that loses a round, a second, with a lease of an election long ago. */
    @Test
    void leaseOfAnElectionLongAgoIsNotUsed() throws StoreException {
        second.lease.refresh();
        first.lease.refresh();
        second.lease.stop();
        clock.advance(TIME_TO_LIVE);

        first.takeDuties();

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against duties without a holder: the lease ends between the election and its first renewal. */
    @Test
    void leaseThatEndsDuringTheElectionIsDropped() throws StoreException {
        store.loseAnswers(1);
        first.round();
        first.link.setBeforeRenewal(() -> {
            first.link.setBeforeRenewal(() -> {});
            store.lapseAllLeases();
        });
        clock.advance(DutyLease.RETRY_DELAY);
        first.round();
        assertEquals(0, store.keys(GatewayStoreKeys.DUTY_HOLDER.path()).size());

        first.takeDuties();

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against duties without a holder: the watch of the VM that lost its lease does not show the removal. */
    @Test
    void formerHolderDoesNotWaitForItsOwnEntryToBeRemoved() throws StoreException {
        first.takeDuties();
        store.lapseAllLeases();
        clock.advance(DutyLease.RENEWAL_INTERVAL);
        first.lease.refresh();
        assertFalse(first.lease.held().isPresent());

        first.lease.refresh();

        assertEquals(1, store.keys(GatewayStoreKeys.DUTY_HOLDER.path()).size());
        first.rounds(ROUNDS_TO_ACT);
        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against lower numbers after the store came back from a copy whose revisions are lower. */
    @Test
    void numbersRiseOverEras() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        store.write("servers/1", new byte[0]);
        first.takeDuties();
        long formerNumber = first.lease.held().orElseThrow().fencing().value();
        store.returnOlder(copy);

        second.round();
        second.rounds(ROUNDS_TO_ACT);

        assertTrue(second.lease.held().orElseThrow().fencing().value() > formerNumber);
    }

    /** Guards against a holder of the former era beside one of the present era that the store has elected since. */
    @Test
    void newerEraEndsTheTermAtOnce() throws StoreException {
        first.takeDuties();
        DutyHolder holder = first.lease.held().orElseThrow();
        store.returnOlder(store.copy());
        assertTrue(holder.permission().isGranted(), "the VM does not know of the new era");

        first.feed.listAgain();

        assertFalse(holder.permission().isGranted());
        assertFalse(first.lease.held().isPresent());
    }

    /** Guards against acting beside the former era's holder, which may not know of the new era yet. */
    @Test
    void termOfANewEraActsOnlyWhenThoseOfTheFormerEraHaveEnded() throws StoreException {
        first.takeDuties();
        DutyHolder former = first.lease.held().orElseThrow();
        store.returnOlder(store.copy());
        second.round();
        while (former.permission().isGranted()) {
            assertFalse(second.lease.held().isPresent());
            clock.advance(Duration.ofMillis(100));
            second.round();
        }

        second.rounds(ROUNDS_TO_ACT);

        assertTrue(second.lease.held().isPresent());
    }

    /** Guards against a process that takes the first era that it sees for an old one. */
    @Test
    void processThatHasJustStartedWaitsLikeInANewEra() throws StoreException {
        store.returnOlder(store.copy());
        first.round();
        long startedAt = clock.nanoTime();
        while (clock.since(startedAt).plus(DutyLease.INTERVAL).compareTo(TIMES.takeoverWait()) < 0) {
            first.rounds(1);
            assertFalse(first.lease.held().isPresent());
        }

        first.rounds(ROUNDS_TO_ACT);

        assertTrue(first.lease.held().isPresent());
    }

    /** Guards against a wait for the lease of an entry that the copy has brought back. */
    @Test
    void entryOfAFormerEraIsReplacedAtOnce() throws StoreException {
        first.round();
        store.returnOlder(store.copy());

        second.round();

        assertEquals(
                2,
                second.members.dutyHolder().orElseThrow().versioned().revision().value());
        second.rounds(ROUNDS_TO_ACT);
        assertTrue(second.lease.held().isPresent());
        assertFalse(first.lease.held().isPresent());
    }

    /** Guards against a term that is renewed by a lease of another VM with the same number. */
    @Test
    void renewalOfAnotherLeaseWithTheSameNumberKeepsNoTerm() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        first.takeDuties();
        store.returnOlder(copy);
        second.round();
        clock.advance(DutyLease.RENEWAL_INTERVAL);

        first.lease.refresh();

        assertFalse(first.lease.held().isPresent());
        for (int round = 0; round < ROUNDS_TO_ACT; round++) {
            second.rounds(1);
            first.round();
            assertFalse(first.lease.held().isPresent());
        }
        assertTrue(second.lease.held().isPresent());
    }

    /** Guards against replacing the holder of an era by the revision of an entry of the era before. */
    @Test
    void viewOfAFormerEraReplacesNoHolder() throws StoreException {
        FakeCoordinationStore.Copy empty = store.copy();
        first.round();
        store.returnOlder(store.copy());
        second.feed.listAgain();
        store.returnOlder(empty);
        first.round();
        StoreItem entry = first.members.dutyHolder().orElseThrow();
        StoreListing _ = second.eras.list("servers/");

        second.lease.refresh();

        first.feed.deliver();
        assertEquals(entry, first.members.dutyHolder().orElseThrow());
    }

    /** Guards against a holder whose key was overwritten, by a write from before an older copy, and that acts on. */
    @Test
    void holderWhoseKeyWasReplacedStops() throws StoreException {
        first.takeDuties();
        store.write(GatewayStoreKeys.DUTY_HOLDER.path(), "{}".getBytes(StandardCharsets.UTF_8));

        first.round();

        assertFalse(first.lease.held().isPresent());
    }

    /** Guards against two holders after an outage that ended all leases before their time. */
    @Test
    void leaseThatEndsEarlyInAnOutageMakesNoSecondHolder() throws StoreException {
        first.takeDuties();
        DutyHolder former = first.lease.held().orElseThrow();
        store.setDown(true);
        second.lease.refresh();
        store.lapseAllLeases();
        store.setDown(false);

        for (int step = 0; step < 60; step++) {
            second.round();
            assertFalse(former.permission().isGranted() && second.lease.held().isPresent());
            clock.advance(Duration.ofMillis(100));
        }

        assertTrue(second.lease.held().isPresent(), "the outage was over a takeover wait ago");
    }

    /** Guards against the same after an outage in which no call of the second VM failed. */
    @Test
    void leaseThatEndsEarlyWithoutAFailedCallMakesNoSecondHolder() throws StoreException {
        first.takeDuties();
        DutyHolder former = first.lease.held().orElseThrow();
        store.lapseAllLeases();

        for (int step = 0; step < 60; step++) {
            second.round();
            assertFalse(former.permission().isGranted() && second.lease.held().isPresent());
            clock.advance(Duration.ofMillis(100));
        }

        assertTrue(second.lease.held().isPresent(), "the outage was over a takeover wait ago");
    }

    /** Guards against a holder that acts on until its next renewal although its watch shows that its key is gone. */
    @Test
    void holderWhoseKeyIsShownAsGoneLosesItsPermission() throws StoreException {
        first.takeDuties();
        first.round();
        DutyHolder former = first.lease.held().orElseThrow();
        store.lapseAllLeases();

        first.feed.deliver();

        assertFalse(former.permission().isGranted());
    }

    /** Guards against a holder that acts on until its next renewal although its watch shows another one. */
    @Test
    void holderWhoseKeyIsShownAsReplacedLosesItsPermission() throws StoreException {
        first.takeDuties();
        DutyHolder former = first.lease.held().orElseThrow();
        store.lapseAllLeases();
        second.round();

        first.feed.deliver();

        assertFalse(former.permission().isGranted());
    }

    /** Guards against a holder that takes a later write of its own for that of another VM. */
    @Test
    void laterRevisionOfTheOwnEntryEndsNoTerm() throws StoreException {
        first.takeDuties();
        byte[] value = store.value(GatewayStoreKeys.DUTY_HOLDER).orElseThrow();
        StoreRevision _ =
                store.apply(StoreTransaction.put(GatewayStoreKeys.DUTY_HOLDER, value, Optional.of(new LeaseId(1))));

        first.round();
        first.round();

        assertTrue(first.lease.held().isPresent());
    }

    private final class Vm {
        private final AtomicLong timeOfDay = new AtomicLong();
        private final MemberList members = new MemberList();
        private final StoreLink link = new StoreLink(store);
        private final EraCheckedStore eras = new EraCheckedStore(link, clock);
        private final StoreFeed feed = new StoreFeed(eras, GatewayStoreKeys.LIVE_PREFIX, members);
        private final DutyLease lease;

        Vm(String name) {
            lease = new DutyLease(
                    eras,
                    members,
                    new StoreHealth(clock),
                    new WallClock(clock, timeOfDay::get),
                    new VmId(name),
                    "lifetime-of-" + name,
                    TIMES);
        }

        /** Refreshes the lease as often as a process does. */
        void rounds(int count) throws StoreException {
            for (int round = 0; round < count; round++) {
                clock.advance(DutyLease.INTERVAL);
                round();
            }
        }

        /** Is elected and waits until it may act. */
        void takeDuties() throws StoreException {
            round();
            rounds(ROUNDS_TO_ACT);
        }

        void round() throws StoreException {
            deliver();
            lease.refresh();
            deliver();
        }

        private void deliver() throws StoreException {
            try {
                feed.deliver();
            } catch (HistoryDiscardedException newEra) {
                feed.listAgain();
            }
        }
    }
}
