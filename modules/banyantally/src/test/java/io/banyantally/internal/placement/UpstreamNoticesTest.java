package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Upstreams that say in their responses that they leave or want no request for some time. */
final class UpstreamNoticesTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();
    private final UpstreamNotices notices = create(1);

    private UpstreamNotices create(long seed) {
        return new UpstreamNotices(clock, new SplittableRandom(seed), new MetricRegistry());
    }

    /** Guards against work for a leaving upstream whose entry is still ready, changes, or lapses and returns. */
    @Test
    void leavingUpstreamStaysOutForItsLifetime() {
        notices.record(entry("a", 1, 6), response(true, Optional.empty()), "attempt");
        clock.advance(Duration.ofHours(1));

        assertEquals(List.of(), notices.accepting(List.of(entry("a", 1, 6))));
        assertEquals(List.of(), notices.accepting(List.of(entry("a", 1, 8))));
    }

    /** Guards against an upstream that never gets work again because a former one at its id has left. */
    @Test
    void laterLifetimeAndOtherUpstreamsGetWork() {
        notices.record(entry("a", 1, 6), response(true, Optional.of(SECOND)), "attempt");

        List<ReplicaEntry> others = List.of(entry("a", 2, 6), entry("b", 1, 6));
        assertEquals(others, notices.accepting(others));
    }

    /** Guards against marking the expected upstream for what another process at its address says. */
    @Test
    void answerOfAnotherInstanceCountsForNothing() {
        ResponseMetadata other = new ResponseMetadata(
                true,
                true,
                false,
                Optional.empty(),
                Optional.empty(),
                true,
                Optional.of(SECOND),
                OptionalDouble.empty());
        notices.record(entry("a", 1, 6), other, "attempt");

        assertEquals(List.of(entry("a", 1, 6)), notices.accepting(List.of(entry("a", 1, 6))));
    }

    /** Guards against requests within the time for which an upstream wants none; its latest end counts. */
    @Test
    void waitingUpstreamGetsNoWorkUntilTheLatestEnd() {
        List<ReplicaEntry> upstream = List.of(entry("a", 1, 6));
        notices.record(upstream.getFirst(), response(false, Optional.of(SECOND.multipliedBy(3))), "attempt");
        notices.record(upstream.getFirst(), response(false, Optional.of(SECOND)), "attempt");
        notices.record(upstream.getFirst(), response(false, Optional.empty()), "attempt");

        clock.advance(SECOND.multipliedBy(3));
        assertEquals(List.of(), notices.accepting(upstream));
        assertTrue(notices.untilFirstReturn(upstream).isPresent());

        clock.advance(SECOND);
        assertEquals(upstream, notices.accepting(upstream));
        assertEquals(Optional.empty(), notices.untilFirstReturn(upstream));
    }

    /** Guards against an upstream that is unused for good after it has asked for an absurd time. */
    @Test
    void longestWaitIsBounded() {
        List<ReplicaEntry> upstream = List.of(entry("a", 1, 6));
        notices.record(upstream.getFirst(), response(false, Optional.of(Duration.ofDays(365))), "attempt");

        clock.advance(UpstreamNotices.MAXIMUM_WAIT.multipliedBy(2));

        assertEquals(upstream, notices.accepting(upstream));
    }

    /** Guards against VMs that return to an upstream together in the first 10 ms after its wait. */
    @Test
    void returnsOfManyVmsAreSpread() {
        List<ReplicaEntry> upstream = List.of(entry("a", 1, 6));
        List<UpstreamNotices> vms = new ArrayList<>();
        for (int vm = 0; vm < 95; vm++) {
            UpstreamNotices own = create(vm);
            own.record(upstream.getFirst(), response(false, Optional.of(SECOND)), "attempt");
            vms.add(own);
        }
        clock.advance(SECOND);
        long returned = 0;
        long most = 0;
        for (int step = 0; step < 30; step++) {
            clock.advance(Duration.ofMillis(10));
            long now =
                    vms.stream().filter(vm -> !vm.accepting(upstream).isEmpty()).count();
            most = Math.max(most, now - returned);
            returned = now;
        }

        assertEquals(95, returned);
        assertTrue(most <= 15, "VMs that returned within 10 ms: " + most);
    }

    private static ResponseMetadata response(boolean leaving, Optional<Duration> retryAfter) {
        return new ResponseMetadata(
                true,
                false,
                false,
                Optional.of("attempt"),
                Optional.empty(),
                leaving,
                retryAfter,
                OptionalDouble.empty());
    }

    private static ReplicaEntry entry(String id, long startedAtMillis, int slots) {
        return new ReplicaEntry(
                new UpstreamId(id),
                Deployments.PLAIN,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                new AvailabilityZone("zone-a"),
                slots,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.of(startedAtMillis),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }
}
