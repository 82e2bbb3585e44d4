package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a drain after which the takeover wait still delays the next owner. Uses real threads. */
final class ScopeHandoverTest {

    private static final Scope SCOPE = new Scope("usage-1");
    private static final long TEST_LIMIT_SECONDS = 30;
    private static final Duration RELEASE_LIMIT = Duration.ofSeconds(20);

    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
    private final BlockingQueue<Long> acquisitions = new LinkedBlockingQueue<>();

    @Test
    @FaultRow(promise = Promise.GRACEFUL_STOP, step = "release", fault = "none, with a watching candidate")
    void aDrainHandsTheScopeToTheWatchingCandidate() throws Exception {
        ScopeManager first = createManager("vm-1", SCOPE);
        first.start();
        assertEquals(1, acquisitions.poll(TEST_LIMIT_SECONDS, TimeUnit.SECONDS));
        ScopeManager second = createManager("vm-2", SCOPE);
        second.start();
        assertTrue(first.stop(RELEASE_LIMIT));
        assertEquals(2, acquisitions.poll(TEST_LIMIT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(SCOPE), second.owned());
        assertEquals(
                new VmId("vm-2"),
                ScopeRecord.decode(
                                store.get(StoreKeys.record(SCOPE)).orElseThrow().value())
                        .owner());
        first.update();
        assertEquals(List.of(), first.owned());
        assertTrue(second.stop(RELEASE_LIMIT));
    }

    private void recordAndWait(OwnedScope scope) throws InterruptedException {
        acquisitions.add(scope.fencingNumber().value());
        while (scope.isGranted()) {
            Thread.sleep(10);
        }
    }

    private ScopeManager createManager(String vm, Scope scope) {
        Timeline timeline = new Timeline(new VmId(vm), Incarnation.draw(), 100, event -> {});
        return new ScopeManager(
                () -> Map.of(scope, this::recordAndWait),
                store,
                candidate -> 0,
                new ProcessIdentity(new VmId(vm), Incarnation.draw()),
                AuthorityEnvironment.system(AuthoritySettings.DEFAULT, timeline));
    }
}
