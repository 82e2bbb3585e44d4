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

/** Guards against a shutdown that leaves a scope to its lease, or that waits without a bound. */
final class ScopeManagerTest {

    private static final Duration LIMIT = Duration.ofSeconds(4);
    private static final Scope FIRST = new Scope("chat@north");
    private static final Scope SECOND = new Scope("chat@south");

    private final InMemoryKeyValueStore shared = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
    private final FaultyKeyValueStore store = new FaultyKeyValueStore(shared);
    private final Map<Scope, ScopeTask> wanted = new HashMap<>();
    private final CountDownLatch end = new CountDownLatch(1);
    private final ScopeManager manager = manager(store, 0);

    private ScopeManager manager(FaultyKeyValueStore way, int rank) {
        VmId vm = new VmId("vm-" + rank);
        Incarnation incarnation = Incarnation.draw();
        return new ScopeManager(
                () -> Map.copyOf(wanted),
                way,
                scope -> rank,
                new ProcessIdentity(vm, incarnation),
                AuthorityEnvironment.system(
                        AuthoritySettings.DEFAULT, new Timeline(vm, incarnation, 100, event -> {})));
    }

    @AfterEach
    void endTasks() {
        end.countDown();
    }

    private static void obedient(OwnedScope scope) throws InterruptedException {
        while (scope.isGranted()) {
            Thread.sleep(20);
        }
    }

    private void owns(ScopeManager owner, int scopes) throws InterruptedException {
        await(() -> owner.owned().size() == scopes);
    }

    private static void await(BooleanSupplier holds) throws InterruptedException {
        long start = System.nanoTime();
        while (!holds.getAsBoolean()) {
            assertTrue(MonotonicClock.SYSTEM.since(start).toSeconds() < 20, "nothing happened within 20 s");
            Thread.sleep(20);
        }
    }

    private boolean isHandedOver(Scope scope) throws StoreException {
        return ScopeRecord.decode(shared.get(StoreKeys.record(scope))
                                .orElseThrow()
                                .value())
                        .handedOver()
                && shared.get(StoreKeys.lease(scope)).isEmpty();
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "none")
    void handsOverAllScopesWithinTheLimit() throws InterruptedException, StoreException {
        wanted.put(FIRST, ScopeManagerTest::obedient);
        wanted.put(SECOND, ScopeManagerTest::obedient);
        manager.update();
        owns(manager, 2);
        assertTrue(manager.stop(LIMIT));
        assertTrue(isHandedOver(FIRST) && isHandedOver(SECOND));
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "platform down")
    void stopsInBoundedTimeWhileThePlatformIsDown() throws InterruptedException {
        wanted.put(FIRST, ScopeManagerTest::obedient);
        manager.update();
        owns(manager, 1);
        store.setPlan((operation, key, after) -> StoreFault.UNAVAILABLE);
        long start = System.nanoTime();
        manager.stop(Duration.ofSeconds(1));
        assertTrue(MonotonicClock.SYSTEM.since(start).toMillis() < 3_000);
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "task does not end")
    void doesNotHandOverAScopeWhoseTaskStillActs() throws InterruptedException, StoreException {
        wanted.put(FIRST, scope -> awaitUninterruptibly(end));
        manager.update();
        owns(manager, 1);
        assertFalse(manager.stop(Duration.ofSeconds(1)));
        assertFalse(isHandedOver(FIRST));
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        while (latch.getCount() > 0) {
            try {
                latch.await(1, TimeUnit.SECONDS);
            } catch (InterruptedException ignored) {
                // This task stands for one that does not react.
            }
        }
    }

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release of scopes", fault = "scope owned by another VM")
    void doesNotWaitForAWatchOfAnotherOwner() throws InterruptedException {
        ScopeManager other = manager(new FaultyKeyValueStore(shared), 1);
        wanted.put(FIRST, ScopeManagerTest::obedient);
        manager.update();
        owns(manager, 1);
        other.update();
        Thread.sleep(500);
        assertTrue(other.stop(LIMIT));
        assertTrue(manager.stop(LIMIT));
    }

    @Test
    void releasesAScopeThatTheConfigurationNoLongerNames() throws InterruptedException, StoreException {
        wanted.put(FIRST, ScopeManagerTest::obedient);
        wanted.put(SECOND, ScopeManagerTest::obedient);
        manager.update();
        owns(manager, 2);
        wanted.remove(FIRST);
        manager.update();
        owns(manager, 1);
        assertEquals(SECOND, manager.owned().getFirst());
        await(() -> {
            try {
                return isHandedOver(FIRST);
            } catch (StoreException unreachable) {
                return false;
            }
        });
        assertTrue(manager.stop(LIMIT));
    }
}
