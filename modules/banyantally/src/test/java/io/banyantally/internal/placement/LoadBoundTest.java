package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays random changes of the upstreams of a large service, and compares each choice with one among all. */
final class LoadBoundTest {

    private static final int UPSTREAMS = 60;
    private static final int STEPS = 6_000;
    private static final int SLOTS = 2;
    private static final Duration LATENCY_TARGET = Duration.ofMillis(150);
    private static final AvailabilityZone OWN_ZONE = new AvailabilityZone("zone-a");
    private static final AvailabilityZone OTHER_ZONE = new AvailabilityZone("zone-b");
    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), LATENCY_TARGET);

    private final ManualClock clock = new ManualClock();
    private final UpstreamNotices notices = new UpstreamNotices(clock, new SplittableRandom(1), new MetricRegistry());
    private final UpstreamLimits limits =
            new UpstreamLimits(() -> new LimitSharers(1, 1, Duration.ZERO), clock, new Random(1), new MetricRegistry());
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final List<Running> running = new ArrayList<>();
    private List<ReplicaEntry> upstreams = IntStream.range(0, UPSTREAMS)
            .mapToObj(number -> entry(number, SLOTS, 1))
            .toList();

    /** Guards against a request that waits, or waits longer, because a change of an upstream was missed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theChoiceIsAsGoodAsOneAmongAllAfterAnyChange(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        LeastLoadedPlacement placement = new LeastLoadedPlacement(() -> random);
        PlainPlacement plain = new PlainPlacement(notices, limits, tracks, placement, clock);
        int choicesWithoutFreeSlot = 0;
        int choicesOfTheOnlyFree = 0;
        for (int step = 0; step < STEPS; step++) {
            change(random);
            Placement.Decision decision = plain.take(DEMAND, upstreams, upstream -> true);
            List<Candidate> candidates = tracks.candidates(notices.accepting(upstreams));
            Placement.Decision amongAll = placement.decide(DEMAND, candidates);
            assertEquals(amongAll.getClass(), decision.getClass());
            if (decision instanceof Placement.Decision.Send send) {
                Candidate best = assertInstanceOf(Placement.Decision.Send.class, amongAll)
                        .candidate();
                String seen = "step " + step + ": " + send.candidate() + " instead of " + best;
                assertEquals(LeastLoadedPlacement.fault(best, DEMAND), fault(send), seen);
                if (isFree(best)) {
                    assertTrue(isFree(send.candidate()), seen);
                    choicesOfTheOnlyFree +=
                            candidates.stream().filter(LoadBoundTest::isFree).count() == 1 ? 1 : 0;
                } else {
                    assertEquals(LeastLoadedPlacement.cost(best), LeastLoadedPlacement.cost(send.candidate()), seen);
                    choicesWithoutFreeSlot++;
                }
                if (random.nextInt(3) > 0) {
                    send(send.candidate().entry());
                }
            }
        }
        assertTrue(choicesWithoutFreeSlot > STEPS / 10, "without a free slot: " + choicesWithoutFreeSlot);
        assertTrue(choicesOfTheOnlyFree > STEPS / 100, "one free upstream: " + choicesOfTheOnlyFree);
    }

    /**
     * Guards against a missed change of an upstream in one part of a service that is divided by zone, and against a
     * request that leaves a zone with a free slot.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void theChoiceInTheOwnZoneIsAsGoodAsOneAmongAllOfIt(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        ZoneSpill spill = new ZoneSpill(new ZoneCost(OWN_ZONE, 1000), clock, new MetricRegistry());
        LeastLoadedPlacement placement = new LeastLoadedPlacement(() -> random, spill);
        PlainPlacement plain = new PlainPlacement(notices, limits, tracks, placement, clock);
        int kept = 0;
        int left = 0;
        for (int step = 0; step < STEPS; step++) {
            change(random);
            boolean spilling = spill.share(new ServiceName("plain")) >= ZoneSpill.MINIMUM_SHARE;
            Placement.Decision decision = plain.take(DEMAND, upstreams, upstream -> true);
            List<Candidate> own = tracks.candidates(notices.accepting(upstreams)).stream()
                    .filter(candidate -> candidate.entry().zone().equals(OWN_ZONE))
                    .toList();
            if (!(decision instanceof Placement.Decision.Send send)) {
                assertTrue(own.isEmpty(), "step " + step);
                continue;
            }
            Optional<Candidate> best = placement.decide(DEMAND, own) instanceof Placement.Decision.Send amongAll
                    ? Optional.of(amongAll.candidate())
                    : Optional.empty();
            String seen = "step " + step + ": " + send.candidate() + " instead of " + best;
            if (send.candidate().entry().zone().equals(OTHER_ZONE)) {
                left++;
                assertTrue(spilling || best.isEmpty() || !isFree(best.get()), seen);
            } else {
                kept++;
                assertEquals(LeastLoadedPlacement.fault(best.orElseThrow(), DEMAND), fault(send), seen);
                assertTrue(
                        isFree(best.get())
                                ? isFree(send.candidate())
                                : LeastLoadedPlacement.cost(best.get()) == LeastLoadedPlacement.cost(send.candidate()),
                        seen);
            }
            if (random.nextInt(3) > 0) {
                send(send.candidate().entry());
            }
        }
        assertTrue(kept > STEPS / 10, "kept: " + kept);
        assertTrue(left > STEPS / 100, "left: " + left);
    }

    private static int fault(Placement.Decision.Send send) {
        return LeastLoadedPlacement.fault(send.candidate(), DEMAND);
    }

    private static boolean isFree(Candidate candidate) {
        return LeastLoadedPlacement.fault(candidate, DEMAND) == 0 && LeastLoadedPlacement.cost(candidate) < 1;
    }

    private void send(ReplicaEntry upstream) {
        UpstreamTrack track = tracks.of(upstream);
        track.recordSent(1, clock.nanoTime());
        running.add(new Running(track, clock.nanoTime()));
    }

    private void change(RandomGenerator random) {
        ReplicaEntry upstream = upstreams.get(random.nextInt(UPSTREAMS));
        UpstreamTrack track = tracks.of(upstream);
        long now = clock.nanoTime();
        switch (random.nextInt(40)) {
            case 0, 1, 2, 3, 4, 5, 6, 7 -> clock.advance(Duration.ofMillis(random.nextInt(8)));
            case 8 -> clock.advance(Duration.ofMillis(random.nextInt(random.nextInt(10) == 0 ? 600 : 60)));
            case 9, 10, 11, 12, 13, 14, 15 -> endOne(random);
            case 16, 17, 18, 19, 20 ->
                track.setPeerWork(new VmId("peer-" + random.nextInt(3)), random.nextInt(SLOTS + 1), 1, now);
            case 21, 22, 23 ->
                track.recordLoad(
                        new ReportedLoad(random.nextInt(SLOTS + 2), random.nextInt(2), SLOTS, workTimePercent(random)),
                        now);
            case 24 -> track.recordRefusal(now, now);
            case 25 -> track.recordWait(random.nextInt(600), now);
            case 26 -> tracks.failed(track, upstreams, "no_answer");
            case 27, 28 -> tracks.succeeded(track);
            case 29 -> state(upstream, false, Optional.of(Duration.ofMillis(random.nextInt(400))));
            case 30 -> state(upstream, random.nextInt(20) == 0, Optional.empty());
            case 31 -> replace(entry(number(upstream), 1 + random.nextInt(SLOTS + 1), startOf(upstream)));
            case 32 -> replace(entry(number(upstream), upstream.slots(), startOf(upstream) + random.nextInt(2)));
            case 33 -> track.health().recordInconclusive();
            case 34 -> {
                if (!running.isEmpty()) {
                    Running begun = running.get(random.nextInt(running.size()));
                    begun.track().recordAnswerBegun(begun.sentAt());
                }
            }
            default -> send(upstream);
        }
    }

    /** Returns a figure for one upstream in three, as it is absent at others. */
    private static OptionalInt workTimePercent(RandomGenerator random) {
        return random.nextInt(3) > 0 ? OptionalInt.empty() : OptionalInt.of(50 + random.nextInt(300));
    }

    private void endOne(RandomGenerator random) {
        if (!running.isEmpty()) {
            Running ended = running.remove(random.nextInt(running.size()));
            ended.track().recordEnd(1, ended.sentAt());
        }
    }

    private void state(ReplicaEntry upstream, boolean leaving, Optional<Duration> wait) {
        notices.record(
                upstream,
                new ResponseMetadata(
                        false, false, true, Optional.of("a"), Optional.empty(), leaving, wait, OptionalDouble.empty()),
                "a");
    }

    private void replace(ReplicaEntry newest) {
        List<ReplicaEntry> changed = new ArrayList<>(upstreams);
        changed.set(number(newest), newest);
        upstreams = List.copyOf(changed);
        tracks.retain(upstreams);
    }

    private static int number(ReplicaEntry upstream) {
        return Integer.parseInt(upstream.id().value().substring(1));
    }

    private static long startOf(ReplicaEntry upstream) {
        return upstream.startedAtMillis().orElseThrow();
    }

    private static ReplicaEntry entry(int number, int slots, long startedAtMillis) {
        return new ReplicaEntry(
                new UpstreamId("u" + number),
                new ServiceName("plain"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                number % 5 == 0 ? OTHER_ZONE : OWN_ZONE,
                slots,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.of(startedAtMillis),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    private record Running(UpstreamTrack track, long sentAt) {}
}
