package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.model.UpstreamId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates short requests to a plain service, a hundred a second, with three upstreams of which one may be slow or
 * fail.
 */
final class LeastLoadedPlacementTest {

    private static final int REQUESTS = 2000;
    private static final int THREADS = 4;
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(10);
    private static final Duration USUAL_DURATION = Duration.ofMillis(20);
    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), Duration.ofMillis(150));

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final RandomGenerator random = new SplittableRandom(1);
    private final LeastLoadedPlacement placement = new LeastLoadedPlacement(() -> random);
    private final List<ReplicaEntry> upstreams =
            IntStream.range(0, 3).mapToObj(index -> upstream("u" + index)).toList();
    private final List<Running> running = new ArrayList<>();

    /** Guards against a slow upstream that still gets its full share of requests. */
    @Test
    void slowUpstreamGetsFewRequests() {
        Map<UpstreamId, Integer> sent = sendRequests(Duration.ofMillis(400), false);

        int slow = sent.get(upstreams.getFirst().id());
        assertTrue(slow < REQUESTS / 10, "of " + REQUESTS + " requests the slow upstream got " + slow);
    }

    /** Guards against an upstream that fails at once, therefore seems idle, and gets all requests. */
    @Test
    void upstreamThatFailsAtOnceGetsFewRequests() {
        Map<UpstreamId, Integer> sent = sendRequests(Duration.ofMillis(1), true);

        int failing = sent.get(upstreams.getFirst().id());
        assertTrue(failing < REQUESTS / 10, "of " + REQUESTS + " requests the failing upstream got " + failing);
    }

    /** Guards against one of several equal upstreams getting most requests. */
    @Test
    void equalUpstreamsShareTheRequests() {
        Map<UpstreamId, Integer> sent = sendRequests(USUAL_DURATION, false);

        assertEquals(3, sent.size());
        sent.values().forEach(count -> assertTrue(count > REQUESTS / 4, sent.toString()));
    }

    /** Guards against an idle upstream at a third of its speed that gets the same share as its fast neighbours. */
    @Test
    void upstreamThatReportsLongerWorkGetsAFewRequests() {
        UpstreamTrack slow = tracks.of(upstreams.getFirst());
        Map<UpstreamId, Integer> sent = new HashMap<>();
        for (int request = 0; request < REQUESTS; request++) {
            slow.recordLoad(new ReportedLoad(0, 0, 6, OptionalInt.of(300)), clock.nanoTime());
            sent.merge(decided().id(), 1, Integer::sum);
        }
        assertEquals(null, sent.get(upstreams.getFirst().id()), sent.toString());

        // Half of the fast upstreams' requests wait: the slow one completes a request earlier now.
        for (ReplicaEntry fast : upstreams.subList(1, 3)) {
            IntStream.range(0, 18).forEach(index -> tracks.of(fast).recordSent(1, clock.nanoTime()));
        }
        assertEquals(upstreams.getFirst().id(), decided().id());
    }

    private ReplicaEntry decided() {
        return assertInstanceOf(Placement.Decision.Send.class, placement.decide(DEMAND, tracks.candidates(upstreams)))
                .candidate()
                .entry();
    }

    /** Guards against a generator that several threads use at once, whose draws repeat. */
    @Test
    void noThreadDrawsFromTheGeneratorOfAnother() throws Exception {
        AtomicInteger drawsOfOthers = new AtomicInteger();
        LeastLoadedPlacement shared = new LeastLoadedPlacement(() -> {
            Thread owner = Thread.currentThread();
            RandomGenerator own = new SplittableRandom(owner.threadId());
            return () -> {
                drawsOfOthers.addAndGet(Thread.currentThread().equals(owner) ? 0 : 1);
                return own.nextLong();
            };
        });
        try (ExecutorService threads = Executors.newFixedThreadPool(THREADS)) {
            List<Callable<Object>> callers = Collections.nCopies(
                    THREADS,
                    Executors.callable(() -> IntStream.range(0, REQUESTS)
                            .forEach(request -> shared.decide(DEMAND, tracks.candidates(upstreams)))));
            for (Future<Object> caller : threads.invokeAll(callers)) {
                caller.get();
            }
        }

        assertEquals(0, drawsOfOthers.get());
    }

    /**
     * Returns how many requests each upstream got, if the first one takes {@code durationAtFirst} for each and may fail
     * all of them.
     */
    private Map<UpstreamId, Integer> sendRequests(Duration durationAtFirst, boolean firstFails) {
        Map<UpstreamId, Integer> sent = new HashMap<>();
        for (int request = 0; request < REQUESTS; request++) {
            endFinishedRequests(firstFails);
            Placement.Decision.Send send = assertInstanceOf(
                    Placement.Decision.Send.class, placement.decide(DEMAND, tracks.candidates(upstreams)));
            ReplicaEntry chosen = send.candidate().entry();
            boolean first = chosen.equals(upstreams.getFirst());
            sent.merge(chosen.id(), 1, Integer::sum);
            long now = clock.nanoTime();
            tracks.of(chosen).recordSent(send.work(), now);
            Duration work = first ? durationAtFirst : USUAL_DURATION;
            running.add(new Running(chosen, first, send.work(), now, now + work.toNanos()));
            clock.advance(REQUEST_INTERVAL);
        }
        return sent;
    }

    private void endFinishedRequests(boolean firstFails) {
        for (Running request : List.copyOf(running)) {
            if (request.endsAt() > clock.nanoTime()) {
                continue;
            }
            running.remove(request);
            UpstreamTrack track = tracks.of(request.upstream());
            track.recordEnd(request.work(), request.sentAt());
            if (request.first() && firstFails) {
                tracks.failed(track, upstreams, "no_answer");
            } else {
                tracks.succeeded(track);
            }
        }
    }

    private static ReplicaEntry upstream(String id) {
        return Deployments.plain(id, new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));
    }

    private record Running(ReplicaEntry upstream, boolean first, double work, long sentAt, long endsAt) {}
}
