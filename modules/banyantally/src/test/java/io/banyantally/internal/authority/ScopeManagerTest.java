package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a shutdown that leaves a scope unavailable until its lease expires, or that waits without a limit. */
final class ScopeManagerTest {

    private static final Duration STOP_LIMIT = Duration.ofSeconds(4);
    private static final Scope FIRST = new Scope("chat@north");
    private static final Scope SECOND = new Scope("chat@south");

    private final InMemoryKeyValueStore backingStore = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(backingStore);
    private final Map<Scope, ScopeTask> desiredScopes = new HashMap<>();
    private final CountDownLatch endOfTasks = new CountDownLatch(1);
    private final ScopeManager manager = manager(store, 0);

    private ScopeManager manager(FaultyKeyValueStore managerStore, int rank) {
        VmId vm = new VmId("vm-" + rank);
        Incarnation incarnation = Incarnation.draw();
        return new ScopeManager(
                () -> Map.copyOf(desiredScopes),
                managerStore,
                scope -> rank,
                new ProcessIdentity(vm, incarnation),
                AuthorityEnvironment.system(
                        AuthoritySettings.DEFAULT, new Timeline(vm, incarnation, 100, event -> {})));
    }

    @AfterEach
    void endTasks() {
        endOfTasks.countDown();
    }

    private static void runUntilAuthorityEnds(OwnedScope scope) throws InterruptedException {
        while (scope.isGranted()) {
            Thread.sleep(20);
        }
    }

    private void awaitOwnedScopes(ScopeManager owner, int scopes) throws InterruptedException {
        await(() -> owner.owned().size() == scopes);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(MonotonicClock.SYSTEM.since(start).toSeconds() < 20, "condition not met within 20 s");
            Thread.sleep(20);
        }
    }

    private boolean isHandedOverAndReleased(Scope scope) throws StoreException {
        return ScopeRecord.decode(backingStore
                                .get(StoreKeys.record(scope))
                                .orElseThrow()
                                .value())
                        .handedOver()
                && backingStore.get(StoreKeys.lease(scope)).isEmpty();
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "none")
    void handsOverAllScopesWithinTheLimit() throws InterruptedException, StoreException {
        desiredScopes.put(FIRST, ScopeManagerTest::runUntilAuthorityEnds);
        desiredScopes.put(SECOND, ScopeManagerTest::runUntilAuthorityEnds);
        manager.update();
        awaitOwnedScopes(manager, 2);
        assertTrue(manager.stop(STOP_LIMIT));
        assertTrue(isHandedOverAndReleased(FIRST) && isHandedOverAndReleased(SECOND));
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "platform down")
    void stopsInBoundedTimeWhileThePlatformIsDown() throws InterruptedException {
        desiredScopes.put(FIRST, ScopeManagerTest::runUntilAuthorityEnds);
        manager.update();
        awaitOwnedScopes(manager, 1);
        store.setPlan((operation, key, after) -> StoreFault.UNAVAILABLE);
        long start = System.nanoTime();
        manager.stop(Duration.ofSeconds(1));
        assertTrue(MonotonicClock.SYSTEM.since(start).toMillis() < 3_000);
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "task does not end")
    void doesNotHandOverAScopeWhoseTaskStillRuns() throws InterruptedException, StoreException {
        desiredScopes.put(FIRST, scope -> awaitUninterruptibly(endOfTasks));
        manager.update();
        awaitOwnedScopes(manager, 1);
        assertFalse(manager.stop(Duration.ofSeconds(1)));
        assertFalse(isHandedOverAndReleased(FIRST));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        while (latch.getCount() > 0) {
            try {
                latch.await(1, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                // Simulates a task that does not react to interrupts.
            }
        }
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "scope owned by another VM")
    void doesNotWaitForTheWatchOfAScopeOwnedByAnotherVm() throws InterruptedException {
        ScopeManager other = manager(new FaultyKeyValueStore(backingStore), 1);
        desiredScopes.put(FIRST, ScopeManagerTest::runUntilAuthorityEnds);
        manager.update();
        awaitOwnedScopes(manager, 1);
        other.update();
        Thread.sleep(500);
        assertTrue(other.stop(STOP_LIMIT));
        assertTrue(manager.stop(STOP_LIMIT));
    }

    @Test
    void releasesAScopeThatNoLongerExists() throws InterruptedException, StoreException {
        desiredScopes.put(FIRST, ScopeManagerTest::runUntilAuthorityEnds);
        desiredScopes.put(SECOND, ScopeManagerTest::runUntilAuthorityEnds);
        manager.update();
        awaitOwnedScopes(manager, 2);
        desiredScopes.remove(FIRST);
        manager.update();
        awaitOwnedScopes(manager, 1);
        assertEquals(SECOND, manager.owned().getFirst());
        await(() -> {
            try {
                return isHandedOverAndReleased(FIRST);
            } catch (StoreException unreachable) {
                return false;
            }
        });
        assertTrue(manager.stop(STOP_LIMIT));
    }
}
