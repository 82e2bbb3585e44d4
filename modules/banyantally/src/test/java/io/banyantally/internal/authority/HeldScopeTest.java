package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an owner that still acts when its lease has ended or another owner took over, and against a new owner
 * that acts too early. The clock is manual: it advances only when the code waits.
 */
final class HeldScopeTest {

    private static final Scope SCOPE = new Scope("advisor@north");
    /** The value in docs/design.md, section 4.14; not read from the settings, so that a shorter one fails the test. */
    private static final Duration TAKEOVER_WAIT = Duration.ofSeconds(5);

    private static final byte[] PAYLOAD = {1, 2, 3};

    private final ManualClock clock = new ManualClock();
    private final InMemoryKeyValueStore backingStore = new InMemoryKeyValueStore(clock);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(backingStore);
    private ScopeLease lease;

    @Test
    void theFirstOwnerDoesNotWait() throws Exception {
        long start = clock.nanoTime();
        assertEquals(new FencingNumber(1), takeOver("vm-1").fencingNumber());
        assertEquals(Duration.ZERO, clock.since(start));
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "wait", fault = "previous owner killed")
    void aNewOwnerWaitsTheTakeoverWaitAndTakesTheNextFencingNumber() throws Exception {
        takeOver("vm-1").write(4, PAYLOAD);
        long start = clock.nanoTime();
        HeldScope second = takeOver("vm-2");
        assertEquals(TAKEOVER_WAIT, clock.since(start));
        assertEquals(new FencingNumber(2), second.fencingNumber());
        assertEquals(4, second.sequence());
        assertArrayEquals(PAYLOAD, second.payload());
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release", fault = "none")
    void aNewOwnerOfAHandedOverScopeDoesNotWait() throws Exception {
        takeOver("vm-1").markHandedOver();
        long start = clock.nanoTime();
        assertEquals(new FencingNumber(2), takeOver("vm-2").fencingNumber());
        assertEquals(Duration.ZERO, clock.since(start));
    }

    @ParameterizedTest
    @EnumSource(StoreFault.class)
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "intent", fault = "each of the store")
    void aFailedWriteIsRetriedOrConfirmedAndTheAuthorityStays(StoreFault fault) throws Exception {
        HeldScope held = takeOver("vm-1");
        failNextWrite(fault);
        held.write(1, PAYLOAD);
        held.write(2, PAYLOAD);
        assertTrue(held.isGranted());
        assertEquals(2, held.sequence());
    }

    @ParameterizedTest
    @EnumSource(StoreFault.class)
    @FaultRow(promise = Promise.NO_CONFLICTING_ORDERS, step = "write record", fault = "each of the store")
    void aTakeoverWithAFailedWriteUsesOneFencingNumber(StoreFault fault) throws Exception {
        failNextWrite(fault);
        assertEquals(new FencingNumber(1), takeOver("vm-1").fencingNumber());
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "intent", fault = "another owner wrote")
    void aWriteAfterAnotherOwnerWroteEndsTheAuthority() throws Exception {
        HeldScope first = takeOver("vm-1");
        first.markHandedOver();
        takeOver("vm-2");
        assertThrows(AuthorityLostException.class, () -> first.write(1, PAYLOAD));
        assertFalse(first.isGranted());
    }

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "renew", fault = "lease lapsed in a pause")
    void theAuthorityEndsBeforeTheLease() throws Exception {
        HeldScope held = takeOver("vm-1");
        clock.advance(AuthoritySettings.DEFAULT.authorityDuration());
        assertFalse(held.isGranted());
        backingStore.renewLease(lease.id());
    }

    @Test
    void aSlowRenewalShortensTheAuthorityByItsDelay() throws Exception {
        HeldScope held = takeOver("vm-1");
        Duration delay = Duration.ofMillis(400);
        store.setPlan((operation, key, after) -> {
            if (after) {
                clock.advance(delay);
            }
            return StoreFault.NONE;
        });
        lease.renew();
        clock.advance(AuthoritySettings.DEFAULT.authorityDuration().minus(delay));
        assertFalse(held.isGranted());
    }

    @Test
    void aRenewalWhoseAnswerIsLostDoesNotExtendTheAuthority() throws Exception {
        HeldScope held = takeOver("vm-1");
        clock.advance(Duration.ofSeconds(2));
        store.setPlan((operation, key, after) -> StoreFault.LOST_ANSWER);
        assertThrows(StoreException.class, () -> lease.renew());
        clock.advance(AuthoritySettings.DEFAULT.authorityDuration().minusSeconds(2));
        assertFalse(held.isGranted());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release", fault = "outcome of the last order known or not")
    void aReleaseMarksTheScopeAsHandedOverOnlyWhenEveryOutcomeIsKnown(boolean known) throws Exception {
        HeldScope held = takeOver("vm-1");
        AuthoritySettings settings = AuthoritySettings.DEFAULT;
        Timeline timeline = new Timeline(new VmId("vm-1"), Incarnation.draw(), 10, event -> {});
        ScopeTask task = scope -> {
            scope.setOutcomesKnown(known);
            held.withdraw();
        };
        TaskRun run = new TaskRun(held, task, clock::advance, settings, timeline);
        run.run();
        AuthorityEnvironment environment = new AuthorityEnvironment(
                settings, clock, clock::advance, timeline, Thread::new, new SplittableRandom(1));
        new ScopeRelease(held, lease, run, environment).release(Thread.currentThread());
        byte[] record = backingStore.get(StoreKeys.record(SCOPE)).orElseThrow().value();
        assertEquals(known, ScopeRecord.decode(record).handedOver());
    }

    @Test
    void rejectsAWriteWithALowerSequence() throws Exception {
        HeldScope held = takeOver("vm-1");
        held.write(3, PAYLOAD);
        assertThrows(IllegalArgumentException.class, () -> held.write(2, PAYLOAD));
    }

    private HeldScope takeOver(String vm) throws Exception {
        lease = ScopeLease.grant(store, clock, settingsWithLongLease());
        ProcessIdentity self = new ProcessIdentity(new VmId(vm), Incarnation.draw());
        HeldScope held = new HeldScope(
                SCOPE, store, clock, clock::advance, AuthoritySettings.DEFAULT, self, new AtomicLong(), lease);
        held.takeOver();
        if (clock.nanoTime() > AuthoritySettings.DEFAULT.renewalInterval().toNanos()) {
            lease.renew();
        }
        return held;
    }

    /** No other thread renews the lease in these tests, so it must outlast the takeover wait. */
    private AuthoritySettings settingsWithLongLease() {
        AuthoritySettings defaults = AuthoritySettings.DEFAULT;
        Duration extra = clock.nanoTime() > 1
                        || backingStore.get(StoreKeys.record(SCOPE)).isPresent()
                ? defaults.takeoverWait()
                : Duration.ZERO;
        return new AuthoritySettings(
                defaults.lease().plus(extra),
                defaults.renewalInterval(),
                defaults.margin(),
                defaults.takeoverWait(),
                defaults.releaseLimit(),
                defaults.checkInterval(),
                defaults.pauseThreshold(),
                defaults.watchTimeout(),
                defaults.retryDelay(),
                defaults.candidacyDelay(),
                defaults.candidates());
    }

    private void failNextWrite(StoreFault fault) {
        AtomicBoolean injected = new AtomicBoolean();
        store.setPlan((operation, key, after) ->
                operation == StoreOperation.COMPARE_AND_SWAP && !after && injected.compareAndSet(false, true)
                        ? fault
                        : StoreFault.NONE);
    }
}
