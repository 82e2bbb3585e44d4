package io.banyantally.internal.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AttemptId;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

final class StreamVersionsTest {

    private static final SoftwareVersion VERSION = new SoftwareVersion("v1");
    private static final AttemptId ATTEMPT = new AttemptId("a");
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** The time after an outage in which callers may be refused. */
    private static final Duration STABILITY = Duration.ofSeconds(3);

    /** More than one transaction can hold. */
    private static final int STREAMS_OF_A_VM = 100;

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private StoreEra era = StoreEra.UNKNOWN;
    private final List<ReplicaEntry> upstreams = List.of(Deployments.engine("u1", "zone-a", EngineStage.DECODE));

    /** Guards against refusing streams that began in an outage of the store long after its end. */
    @Test
    void streamThatBeganInAnOutageIsKnownToOtherVmsAfterIt() throws Exception {
        StreamVersions first = vm();
        StreamVersions second = vm();
        store.setDown(true);
        StreamStart start = first.start(Deployments.ENGINES, ATTEMPT);
        start.recordVersion(VERSION);
        assertTrue(start.awaitRecord(LIMIT));

        store.setDown(false);
        clock.advance(STABILITY);
        first.maintain();

        assertEquals(Optional.of(VERSION), second.versionOf(Deployments.ENGINES, Optional.of(ATTEMPT)));
    }

    /** Guards against a record that is given up when its second write fails too. */
    @Test
    void streamThatBeganInALongOutageIsKnownToOtherVmsAfterIt() throws Exception {
        StreamVersions first = vm();
        StreamVersions second = vm();
        store.setDown(true);
        StreamStart start = first.start(Deployments.ENGINES, ATTEMPT);
        start.recordVersion(VERSION);
        assertTrue(start.awaitRecord(LIMIT));
        clock.advance(STABILITY);
        first.maintain();

        store.setDown(false);
        clock.advance(STABILITY);
        first.maintain();

        assertEquals(Optional.of(VERSION), second.versionOf(Deployments.ENGINES, Optional.of(ATTEMPT)));
    }

    /** Guards against streams that go on at the default version while their lost records are written again. */
    @Test
    void recordsThatTheStoreHasLostAreWrittenAtOnceAfterItsReturn() throws Exception {
        StreamVersions vm = vm();
        FakeCoordinationStore.Copy copy = store.copy();
        for (int stream = 0; stream < STREAMS_OF_A_VM; stream++) {
            StreamStart start = vm.start(Deployments.ENGINES, new AttemptId("a" + stream));
            start.recordVersion(VERSION);
            assertTrue(start.awaitRecord(LIMIT));
        }
        store.setDown(true);
        vm.start(Deployments.ENGINES, ATTEMPT).recordVersion(VERSION);
        store.setDown(false);
        store.returnOlder(copy);
        era = store.list(StreamStoreKeys.DEFAULTS_PREFIX).revision().era();

        vm.maintain();

        StreamVersions other = vm();
        for (int stream = 0; stream < STREAMS_OF_A_VM; stream++) {
            AttemptId attempt = new AttemptId("a" + stream);
            assertEquals(Optional.of(VERSION), other.versionOf(Deployments.ENGINES, Optional.of(attempt)));
        }
    }

    private StreamVersions vm() throws StoreException {
        DefaultVersions defaults = new DefaultVersions(clock);
        new StoreFeed(store, StreamStoreKeys.DEFAULTS_PREFIX, defaults).deliver();
        return new StreamVersions(
                store,
                () -> era,
                defaults,
                new PresentVersions(() -> upstreams, clock),
                new StreamRecorder(
                        store, () -> Duration.ZERO, clock, duration -> {}, Runnable::run, new MetricRegistry()),
                clock);
    }
}
