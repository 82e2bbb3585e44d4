package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

final class UpstreamTracksTest {

    private static final ReplicaEntry ENTRY =
            Deployments.plain("u1", new InetSocketAddress(InetAddress.getLoopbackAddress(), 1));

    private final ManualClock clock = new ManualClock();
    private final UpstreamTracks tracks = new UpstreamTracks(clock);

    /** Guards against too many requests at an upstream whose entry lapsed with the store while requests ran there. */
    @Test
    void requestsThatRunAreCountedWhenTheEntryIsBack() {
        tracks.of(ENTRY).recordSent(10, clock.nanoTime());
        tracks.retain(List.of());

        assertEquals(1, tracks.of(ENTRY).ownWork().requests());
    }

    /** Guards against upstreams that stay in memory for good. */
    @Test
    void upstreamThatIsGoneAndIdleIsForgotten() {
        UpstreamTrack track = tracks.of(ENTRY);
        track.recordSent(10, clock.nanoTime());
        track.recordEnd(10, clock.nanoTime());

        tracks.retain(List.of());

        assertEquals(0, tracks.all().size());
    }
}
