package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class ReplicaRegistryTest {

    private static final String PREFIX = "upstreams/";

    /** The longest time after which a request may reach an upstream that has left. */
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final StoreHealth health = new StoreHealth(clock);
    private final ReplicaRegistry registry = new ReplicaRegistry(new StateReader(), health, clock);
    private final StoreFeed feed = new StoreFeed(store, PREFIX, registry);

    /** Guards against sending new work to an upstream that is leaving. */
    @Test
    void drainingUpstreamGetsNoWork() throws StoreException {
        write("a", "ready");
        write("a", "draining");

        assertEquals(List.of(), accepting());
    }

    /** Guards against sending new work to an upstream whose entry was removed without draining. */
    @Test
    void removedUpstreamIsDroppedAtOnceWhileTheStoreIsReachable() throws StoreException {
        write("a", "ready");
        store.delete(PREFIX + "a");
        feed.deliver();

        assertEquals(List.of(), accepting());
    }

    /** Guards against a service without upstreams after an outage in which their entries expired. */
    @Test
    void expiredUpstreamStaysInUseForAShortTimeAfterAnOutage() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        store.delete(PREFIX + "a");
        health.answered();
        feed.listAgain();
        assertEquals(List.of("a"), accepting());

        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        registry.dropLapsed();
        assertEquals(List.of(), accepting());
    }

    /** Guards against work for an upstream more than two seconds after it left, because a watch was cut meanwhile. */
    @Test
    void upstreamThatLeavesWhileAWatchIsCutIsDroppedInTime() throws StoreException {
        write("a", "ready");
        clock.advance(PrefixWatcher.SHORT_WATCH);
        store.delete(PREFIX + "a");
        outage();
        clock.advance(PrefixWatcher.FIRST_RETRY_DELAY.multipliedBy(2));
        health.answered();
        feed.deliver();

        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE.minus(PrefixWatcher.FIRST_RETRY_DELAY.multipliedBy(2)));

        assertEquals(List.of(), accepting());
    }

    /**
     * Guards against work for an upstream that has left, for as long as an entry may have expired in an outage, because
     * a watch was cut. On a VM whose threads are late, that time exceeds the two seconds that are allowed.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 25, 50, 400, 1700})
    void upstreamThatLeavesDuringAGapInWhichNoEntryCanExpireIsDroppedAtOnce(int gapMillis) throws StoreException {
        write("a", "ready");
        store.delete(PREFIX + "a");
        outage();
        clock.advance(Duration.ofMillis(gapMillis));
        health.answered();
        feed.deliver();

        assertEquals(List.of(), accepting());
        assertEquals(0, registry.all().size());
    }

    /** Guards against the same for a listing, which follows a watch whose history the store has discarded. */
    @Test
    void upstreamThatIsNotListedAfterACutWatchIsDroppedAtOnce() throws StoreException {
        write("a", "ready");
        store.delete(PREFIX + "a");
        outage();
        clock.advance(PrefixWatcher.FIRST_RETRY_DELAY);
        health.answered();
        feed.listAgain();

        assertEquals(List.of(), accepting());
    }

    /** Guards against a service without upstreams because a watch is cut shortly after an outage. */
    @Test
    void cutWatchAfterAnOutageDoesNotEndTheTimeInUse() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        health.answered();
        outage();
        clock.advance(PrefixWatcher.FIRST_RETRY_DELAY);
        health.answered();
        store.delete(PREFIX + "a");
        feed.deliver();

        assertEquals(List.of("a"), accepting());
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE.minus(PrefixWatcher.FIRST_RETRY_DELAY));
        assertEquals(List.of(), accepting());
    }

    /** Guards against counting the time in use from the answer to a watch that hung while other calls were answered. */
    @Test
    void upstreamThatLeftWhileAWatchHungIsDroppedAtOnce() throws StoreException {
        write("a", "ready");
        store.delete(PREFIX + "a");
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        health.answered();
        outage();
        health.answered();
        feed.deliver();

        assertEquals(List.of(), accepting());
    }

    /** Guards against dropping upstreams whose entries expire shortly after the store is back from an outage. */
    @Test
    void entryThatExpiresAfterTheEndOfAnOutageStaysInUse() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        health.answered();
        feed.deliver();
        clock.advance(Duration.ofMillis(500));
        store.delete(PREFIX + "a");
        feed.deliver();

        assertEquals(List.of("a"), accepting());
    }

    /** Guards against a service without upstreams while the store is away once more, before they could register. */
    @Test
    void entryThatExpiredInAnOutageStaysInUseDuringTheNext() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        store.delete(PREFIX + "a");
        health.answered();
        feed.deliver();
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE.multipliedBy(3));
        registry.dropLapsed();
        assertEquals(List.of("a"), accepting());

        health.answered();
        registry.dropLapsed();
        assertEquals(List.of(), accepting());
    }

    /** Guards against work for an upstream that left between two outages, for as long as the second one lasts. */
    @Test
    void upstreamThatLeavesBetweenTwoOutagesIsDroppedInTime() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        health.answered();
        feed.deliver();
        clock.advance(Duration.ofSeconds(1));
        store.delete(PREFIX + "a");
        feed.deliver();
        clock.advance(Duration.ofMillis(500));
        outage();

        clock.advance(DRAIN_LIMIT.minusMillis(500));

        assertEquals(List.of(), accepting());
    }

    /**
     * Guards against work for an upstream that left shortly after an outage, because a call of another task fails when
     * the grace period ends.
     */
    @Test
    void failedCallDoesNotExtendTheTimeInUseOfAMissingUpstream() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        store.delete(PREFIX + "a");
        health.answered();
        feed.deliver();
        for (int watch = 0; watch < 3; watch++) {
            clock.advance(DRAIN_LIMIT.dividedBy(4));
            feed.deliver();
        }
        outage();

        clock.advance(DRAIN_LIMIT.dividedBy(4));
        registry.dropLapsed();

        assertEquals(List.of(), accepting());
    }

    /** Guards against dropping an upstream that registers again within its grace period. */
    @Test
    void upstreamThatReturnsAfterAnOutageStays() throws StoreException {
        write("a", "ready");
        outage();
        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        store.delete(PREFIX + "a");
        health.answered();
        feed.listAgain();
        assertEquals(List.of("a"), accepting());
        write("a", "ready");

        clock.advance(ReplicaRegistry.LAPSED_ENTRY_GRACE);
        registry.dropLapsed();

        assertEquals(List.of("a"), accepting());
    }

    /** Guards against sending new work to an upstream that was leaving when its entry expired in an outage. */
    @Test
    void leavingUpstreamGetsNoGracePeriod() throws StoreException {
        write("a", "draining");
        outage();
        store.delete(PREFIX + "a");
        health.answered();
        feed.listAgain();

        assertEquals(0, registry.all().size());
    }

    /** Guards against a request to an upstream that has left between its choice and the first byte. */
    @ParameterizedTest
    @ValueSource(strings = {"draining", ""})
    void upstreamThatLeavesAfterItsChoiceIsNotStillAccepting(String state) throws StoreException {
        write("a", "ready");
        ReplicaEntry chosen = registry.accepting(Deployments.PLAIN).getFirst();
        assertTrue(registry.isStillAccepting(chosen));

        if (state.isEmpty()) {
            store.delete(PREFIX + "a");
            feed.deliver();
        } else {
            write("a", state);
        }

        assertFalse(registry.isStillAccepting(chosen));
    }

    /** Guards against losing all upstreams to one unreadable entry that another program wrote. */
    @Test
    void unreadableEntryIsIgnoredAndTheOthersRemain() throws StoreException {
        write("a", "ready");
        write("b", "some other text");
        write("a", "ready");

        assertEquals(List.of("a"), accepting());
    }

    private void outage() {
        health.failed("list", new StoreUnavailableException("down"));
    }

    private void write(String id, String state) throws StoreException {
        store.write(PREFIX + id, state.getBytes(StandardCharsets.UTF_8));
        feed.deliver();
    }

    private List<String> accepting() {
        return registry.accepting(Deployments.PLAIN).stream()
                .map(entry -> entry.id().value())
                .toList();
    }

    private static final class StateReader implements DocumentReader {
        @Override
        public DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException {
            throw new UnreadableDocumentException("not used");
        }

        @Override
        public ReplicaEntry replica(StoreKey key, byte[] document) throws UnreadableDocumentException {
            String state = new String(document, StandardCharsets.UTF_8);
            if (!state.equals("ready") && !state.equals("draining")) {
                throw new UnreadableDocumentException("state is " + state);
            }
            return new ReplicaEntry(
                    new UpstreamId(key.path().substring(PREFIX.length())),
                    Deployments.PLAIN,
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                    new AvailabilityZone("zone-a"),
                    6,
                    state.equals("draining"),
                    EngineStage.NONE,
                    false,
                    OptionalLong.empty(),
                    OptionalLong.empty(),
                    new SoftwareVersion("v1"));
        }
    }
}
