package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FaultRow;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards the drain of a process with real threads: its scopes pass on without the takeover wait. */
final class ScopeOwnersTest {

    private static final Scope SCOPE = new Scope("usage-1");
    private static final long TEST_LIMIT_SECONDS = 30;

    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
    private final BlockingQueue<Long> acquisitions = new LinkedBlockingQueue<>();

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release", fault = "none, with a watching candidate")
    void aDrainHandsTheScopeToTheWatchingCandidate() throws Exception {
        ScopeOwners first = process("vm-1");
        first.add(SCOPE, this::recordAndWait);
        assertEquals(1, acquisitions.poll(TEST_LIMIT_SECONDS, TimeUnit.SECONDS));
        ScopeOwners second = process("vm-2");
        second.add(SCOPE, this::recordAndWait);
        assertTrue(first.releaseAll());
        assertEquals(2, acquisitions.poll(TEST_LIMIT_SECONDS, TimeUnit.SECONDS));
        assertTrue(second.isOwner(SCOPE));
        assertTrue(ScopeRecord.decode(
                        store.get(StoreKeys.record(SCOPE)).orElseThrow().value())
                .owner()
                .equals(new VmId("vm-2")));
        assertThrows(IllegalStateException.class, () -> first.add(new Scope("usage-2"), this::recordAndWait));
        assertTrue(second.releaseAll());
    }

    private void recordAndWait(OwnedScope scope) throws InterruptedException {
        acquisitions.add(scope.fencingNumber().value());
        while (scope.isGranted()) {
            Thread.sleep(10);
        }
    }

    private ScopeOwners process(String vm) {
        Timeline timeline = new Timeline(new VmId(vm), Incarnation.draw(), 100, event -> {});
        return new ScopeOwners(
                store,
                scope -> 0,
                new ProcessIdentity(new VmId(vm), Incarnation.draw()),
                AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline));
    }
}
