package io.banyantally.internal.streams;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** First events of streams whose record gets no answer, with real waiting times. */
@Timeout(30)
final class StreamStartTest {

    private static final SoftwareVersion PRESENT = new SoftwareVersion("v1");
    private static final SoftwareVersion OTHER = new SoftwareVersion("v2");
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** Far less than the latency target of the users' streams, 100 ms and more. */
    private static final Duration NOTICEABLE = Duration.ofMillis(80);

    private final FakeCoordinationStore items = new FakeCoordinationStore(new ManualClock());
    private final DefaultVersions defaults = new DefaultVersions(MonotonicClock.SYSTEM);
    private final StoreFeed feed = new StoreFeed(items, StreamStoreKeys.DEFAULTS_PREFIX, defaults);
    private final List<ReplicaEntry> upstreams = List.of(Deployments.engine("u1", "zone-a", EngineStage.DECODE));

    /** Tasks that write never run, as if the store were silent. */
    private final StreamVersions versions = new StreamVersions(
            items,
            () -> StoreEra.UNKNOWN,
            defaults,
            new PresentVersions(() -> upstreams, MonotonicClock.SYSTEM),
            new StreamRecorder(
                    items,
                    () -> Duration.ZERO,
                    MonotonicClock.SYSTEM,
                    Sleeper.SYSTEM,
                    task -> {},
                    new MetricRegistry()),
            MonotonicClock.SYSTEM);

    /** Guards against late streams while the store is silent and nobody would go on with them at another version. */
    @Test
    void firstEventDoesNotWaitLongWithoutADefault() throws Exception {
        feed.deliver();
        StreamStart start = versions.start(Deployments.ENGINES, new AttemptId("a"));
        start.recordVersion(PRESENT);

        long startedAt = System.nanoTime();
        assertTrue(start.awaitRecord(LIMIT));
        Duration taken = Duration.ofNanos(System.nanoTime() - startedAt);
        assertTrue(taken.compareTo(NOTICEABLE) < 0, "waited " + taken);
    }

    /** Guards against a first event of another version without a record, which would go on at the default version. */
    @Test
    void firstEventOfAnotherVersionIsNotPassedOnWithoutARecord() throws Exception {
        nameDefault();
        StreamStart start = versions.start(Deployments.ENGINES, new AttemptId("a"));
        start.recordVersion(OTHER);

        assertFalse(start.awaitRecord(LIMIT));
    }

    /** Guards against a wait for the store in the usual case of one version. */
    @Test
    void firstEventOfTheDefaultVersionDoesNotWait() throws Exception {
        nameDefault();
        StreamStart start = versions.start(Deployments.ENGINES, new AttemptId("a"));
        start.recordVersion(PRESENT);

        assertTrue(start.awaitRecord(Duration.ZERO));
    }

    private void nameDefault() throws StoreException {
        items.write(
                StreamStoreKeys.defaultVersion(Deployments.ENGINES).path(),
                WireFormat.encode(DefaultVersion.of(Deployments.ENGINES, PRESENT)));
        feed.deliver();
    }
}
