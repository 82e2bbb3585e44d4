package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.UpstreamId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Plays short requests of a plain service, a hundred a second, against upstreams of which one is slow or fails. */
final class LeastLoadedPlacementTest {

    private static final int REQUESTS = 2000;
    private static final Duration BETWEEN = Duration.ofMillis(10);
    private static final Duration USUAL_WORK = Duration.ofMillis(20);
    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), Duration.ofMillis(150));

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final LeastLoadedPlacement placement = new LeastLoadedPlacement(new SplittableRandom(1));
    private final List<ReplicaEntry> upstreams =
            IntStream.range(0, 3).mapToObj(index -> upstream("u" + index)).toList();
    private final List<Running> running = new ArrayList<>();

    /** Guards against an upstream that has become slow and still gets its full share of requests. */
    @Test
    void slowUpstreamGetsAFewRequestsOnly() {
        Map<UpstreamId, Integer> sent = play(Duration.ofMillis(400), false);

        int slow = sent.get(upstreams.getFirst().id());
        assertTrue(slow < REQUESTS / 10, "of " + REQUESTS + " requests the slow upstream got " + slow);
    }

    /** Guards against an upstream that fails at once, seems idle, and draws all requests. */
    @Test
    void upstreamThatFailsAtOnceIsLeftOut() {
        Map<UpstreamId, Integer> sent = play(Duration.ofMillis(1), true);

        int failing = sent.get(upstreams.getFirst().id());
        assertTrue(failing < REQUESTS / 10, "of " + REQUESTS + " requests the failing upstream got " + failing);
    }

    /** Guards against upstreams of equal load of which one gets most requests. */
    @Test
    void equalUpstreamsShareTheRequests() {
        Map<UpstreamId, Integer> sent = play(USUAL_WORK, false);

        assertEquals(3, sent.size());
        sent.values().forEach(count -> assertTrue(count > REQUESTS / 4, sent.toString()));
    }

    /** Returns how many requests each upstream got if the first one takes this long, and maybe fails them. */
    private Map<UpstreamId, Integer> play(Duration workOfFirst, boolean firstFails) {
        Map<UpstreamId, Integer> sent = new HashMap<>();
        for (int request = 0; request < REQUESTS; request++) {
            endFinished(firstFails);
            Placement.Decision.Send send = assertInstanceOf(
                    Placement.Decision.Send.class, placement.decide(DEMAND, tracks.candidates(upstreams)));
            ReplicaEntry chosen = send.candidate().entry();
            boolean first = chosen.equals(upstreams.getFirst());
            sent.merge(chosen.id(), 1, Integer::sum);
            long now = clock.nanoTime();
            tracks.of(chosen).recordSent(send.work(), now);
            Duration work = first ? workOfFirst : USUAL_WORK;
            running.add(new Running(chosen, first, send.work(), now, now + work.toNanos()));
            clock.advance(BETWEEN);
        }
        return sent;
    }

    private void endFinished(boolean firstFails) {
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
