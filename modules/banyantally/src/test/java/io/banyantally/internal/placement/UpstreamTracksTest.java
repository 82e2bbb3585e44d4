package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

final class UpstreamTracksTest {

    private static final ReplicaEntry ENTRY =
            Deployments.plain("u1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);

    /** Guards against overloading an upstream whose entry lapsed in a store outage while requests ran there. */
    @Test
    void runningRequestsAreCountedAfterTheEntryReturns() {
        tracks.of(ENTRY).recordSent(10, clock.nanoTime());
        tracks.retain(List.of());

        assertEquals(1, tracks.of(ENTRY).ownWork().requests());
    }

    /** Guards against tracks of removed upstreams that stay in memory forever. */
    @Test
    void removedIdleUpstreamIsDropped() {
        UpstreamTrack track = tracks.of(ENTRY);
        track.recordSent(10, clock.nanoTime());
        track.recordEnd(10, clock.nanoTime());

        tracks.retain(List.of());

        assertEquals(0, tracks.all().size());
    }

    /** Guards against sums that visit all VMs of a zone at each upstream, which took half of the time of a delegate. */
    @Test
    void onlyVmsWithWorkAreVisited() {
        UpstreamTrack track = tracks.of(ENTRY);
        for (int vm = 0; vm < 28; vm++) {
            track.setPeerWork(new VmId("vm-" + vm), vm < 5 ? 1 : 0, vm < 5 ? 10 : 0, clock.nanoTime());
        }
        track.setPeerWork(new VmId("vm-0"), 0, 0, clock.nanoTime());
        AtomicInteger visited = new AtomicInteger();

        UpstreamTrack.Work sum = track.workWithPeers(vm -> visited.incrementAndGet() > 0, clock.nanoTime());

        assertEquals(new UpstreamTrack.Work(4, 40), sum);
        assertEquals(4, visited.get());
    }
}
