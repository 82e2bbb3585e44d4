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

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
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

    private StreamVersions vm() throws StoreException {
        DefaultVersions defaults = new DefaultVersions(clock);
        new StoreFeed(store, StreamStoreKeys.DEFAULTS_PREFIX, defaults).deliver();
        return new StreamVersions(
                store,
                () -> StoreEra.UNKNOWN,
                defaults,
                new PresentVersions(() -> upstreams, clock),
                new StreamRecorder(
                        store, () -> Duration.ZERO, clock, duration -> {}, Runnable::run, new MetricRegistry()),
                clock);
    }
}
