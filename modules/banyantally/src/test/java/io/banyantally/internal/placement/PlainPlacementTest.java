package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the choice of the upstream of a plain request in services of few and of many upstreams. */
final class PlainPlacementTest {

    private static final int MANY = 500;
    private static final int FAILURES = 3;
    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), Duration.ofMillis(150));

    private final ManualClock clock = new ManualClock();
    private final UpstreamNotices notices = new UpstreamNotices(clock, new SplittableRandom(1), new MetricRegistry());
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> new LimitSharers(1, 1, Duration.ZERO), clock, new Random(1), new MetricRegistry());
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final RandomGenerator random = new SplittableRandom(1);
    private final LeastLoadedPlacement placement = new LeastLoadedPlacement(() -> random);
    private final PlainPlacement plain = new PlainPlacement(notices, limits, tracks, placement, clock);
    private final Set<ReplicaEntry> tried = new HashSet<>();

    /** Guards against a refusal, or a worse choice, while one of 500 upstreams could start the request. */
    @ParameterizedTest
    @EnumSource
    void theOnlyPlaceAmongManyUpstreamsIsFound(Obstacle obstacle) {
        List<ReplicaEntry> upstreams = upstreams(MANY);
        ReplicaEntry open = upstreams.get(MANY / 3);
        upstreams.stream().filter(upstream -> !upstream.equals(open)).forEach(upstream -> impose(obstacle, upstream));

        for (int request = 0; request < 20; request++) {
            assertEquals(open, sentTo(upstreams));
        }
    }

    /** Guards against a send to an upstream that leaves, waits, is limited or was tried, if there is no other. */
    @ParameterizedTest
    @EnumSource(names = {"LEAVING", "WAITING", "LIMITED", "TRIED"})
    void nothingIsSentWhenNoUpstreamAcceptsIt(Obstacle obstacle) {
        List<ReplicaEntry> upstreams = upstreams(MANY);
        upstreams.forEach(upstream -> impose(obstacle, upstream));

        assertInstanceOf(Placement.Decision.NoUpstream.class, decide(upstreams));
    }

    /** Guards against a refusal where all upstreams are busy or have failed, but may be sent to. */
    @ParameterizedTest
    @EnumSource(names = {"BUSY", "FAILED", "REFUSING", "UNRESPONSIVE"})
    void aRequestIsSentWhileAnyUpstreamMayBeUsed(Obstacle obstacle) {
        List<ReplicaEntry> upstreams = upstreams(MANY);
        upstreams.forEach(upstream -> impose(obstacle, upstream));

        assertTrue(upstreams.contains(sentTo(upstreams)));
    }

    /** Guards against a choice in a small service that is not the least loaded upstream. */
    @ParameterizedTest
    @ValueSource(ints = {3, 9, 27})
    void theLeastLoadedOfFewUpstreamsIsChosen(int count) {
        List<ReplicaEntry> upstreams = upstreams(count);
        for (ReplicaEntry least : upstreams) {
            upstreams.stream()
                    .filter(upstream -> !upstream.equals(least))
                    .forEach(upstream -> tracks.of(upstream).recordSent(1, clock.nanoTime()));
            assertEquals(least, sentTo(upstreams));
            tracks.of(least).recordSent(1, clock.nanoTime());
        }
    }

    /** Guards against a decision whose cost grows with the number of upstreams. */
    @Test
    void fewUpstreamsAreLookedAtWhileSlotsAreFree() {
        List<ReplicaEntry> upstreams = upstreams(MANY);
        int requests = 1_000;
        int[] looks = {0};
        for (int request = 0; request < requests; request++) {
            plain.take(DEMAND, upstreams, upstream -> {
                looks[0]++;
                return true;
            });
        }

        assertTrue(looks[0] <= requests * LeastLoadedPlacement.MAXIMUM_DRAWS, "looked at " + looks[0]);
    }

    /** Guards against a decision whose cost grows with the number of upstreams while none or one can be used. */
    @ParameterizedTest
    @EnumSource(
            mode = EnumSource.Mode.EXCLUDE,
            names = {"LIMITED", "TRIED"})
    void fewUpstreamsAreLookedAtWhileNothingChanges(Obstacle obstacle) {
        List<ReplicaEntry> upstreams = upstreams(MANY);
        upstreams.stream().skip(1).forEach(upstream -> impose(obstacle, upstream));
        int requests = 1_000;
        int[] looks = {0};
        for (int request = 0; request < requests; request++) {
            plain.take(DEMAND, upstreams, upstream -> {
                looks[0]++;
                return true;
            });
            if (request == requests / 2) {
                impose(obstacle, upstreams.getFirst());
            }
        }

        int most = MANY + requests * LeastLoadedPlacement.MAXIMUM_DRAWS;
        assertTrue(looks[0] <= most, "looked at " + looks[0]);
    }

    private ReplicaEntry sentTo(List<ReplicaEntry> upstreams) {
        return assertInstanceOf(Placement.Decision.Send.class, decide(upstreams))
                .candidate()
                .entry();
    }

    private Placement.Decision decide(List<ReplicaEntry> upstreams) {
        return plain.take(DEMAND, upstreams, upstream -> !tried.contains(upstream));
    }

    private void impose(Obstacle obstacle, ReplicaEntry upstream) {
        UpstreamTrack track = tracks.of(upstream);
        long now = clock.nanoTime();
        switch (obstacle) {
            case LEAVING -> state(upstream, true, Optional.empty(), OptionalDouble.empty());
            case WAITING -> state(upstream, false, Optional.of(Duration.ofSeconds(10)), OptionalDouble.empty());
            case LIMITED -> {
                state(upstream, false, Optional.empty(), OptionalDouble.of(0.25));
                assertTrue(limits.tryTake(upstream));
            }
            case TRIED -> tried.add(upstream);
            case BUSY -> IntStream.range(0, upstream.slots()).forEach(slot -> track.recordSent(1, now));
            case BUSY_FOR_PEERS -> track.setPeerWork(new VmId("peer"), upstream.slots(), 1, now);
            case REPORTED_FULL -> track.recordLoad(new ReportedLoad(upstream.slots(), 0, upstream.slots()), now);
            case FAILED -> {
                IntStream.range(0, FAILURES).forEach(failure -> track.recordFailure());
                track.eject(now);
            }
            case REFUSING -> track.recordRefusal(now, now);
            case UNRESPONSIVE -> track.recordWait(1_000, now);
        }
    }

    private void state(ReplicaEntry upstream, boolean leaving, Optional<Duration> wait, OptionalDouble limit) {
        ResponseMetadata response =
                new ResponseMetadata(false, false, true, Optional.of("a"), Optional.empty(), leaving, wait, limit);
        notices.record(upstream, response, "a");
        limits.record(upstream, response, "a", clock.nanoTime());
    }

    private static List<ReplicaEntry> upstreams(int count) {
        return IntStream.range(0, count)
                .mapToObj(number ->
                        Deployments.plain("u" + number, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1)))
                .toList();
    }

    /** What keeps a request from an upstream. */
    enum Obstacle {
        LEAVING,
        WAITING,
        LIMITED,
        TRIED,
        BUSY,
        BUSY_FOR_PEERS,
        REPORTED_FULL,
        FAILED,
        REFUSING,
        UNRESPONSIVE
    }
}
