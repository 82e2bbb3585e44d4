package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
final class WorkExchangeTest {

    private static final ReplicaEntry ENGINE = Deployments.engine("e1", "zone-a", EngineStage.PREFILL);

    private final ManualClock clock = new ManualClock();
    private final FakePeerHub hub = new FakePeerHub();
    private final Vm first = new Vm("vm-1");
    private final Vm second = new Vm("vm-2");

    /** Guards against VMs that fill a queue together because each sees only its own part. */
    @Test
    void bothSidesLearnTheWorkOfTheOther() throws InterruptedException {
        first.tracks.of(ENGINE).recordSent(12, clock.nanoTime());
        second.tracks.of(ENGINE).recordSent(7, clock.nanoTime());

        exchange();

        assertEquals(7, first.candidate().peerWork());
        assertEquals(12, second.candidate().peerWork());
        assertEquals(1, second.candidate().peerRequests());
    }

    /** Guards against the work of a VM that died holding requests back for good. */
    @Test
    void workOfASilentPeerIsForgotten() throws InterruptedException {
        second.tracks.of(ENGINE).recordSent(7, clock.nanoTime());
        first.tracks.of(ENGINE);
        exchange();

        clock.advance(Duration.ofSeconds(1));

        assertEquals(0, first.candidate().peerWork());
    }

    /** Guards against work that has ended and is still counted. */
    @Test
    void endedWorkIsToldWithTheNextMessage() throws InterruptedException {
        long sentAt = clock.nanoTime();
        second.tracks.of(ENGINE).recordSent(7, sentAt);
        first.tracks.of(ENGINE);
        exchange();
        second.tracks.of(ENGINE).recordEnd(7, sentAt);

        exchange();

        assertEquals(0, first.candidate().peerWork());
    }

    private void exchange() throws InterruptedException {
        clock.advance(Duration.ofMillis(50));
        first.exchange.exchange();
        second.exchange.exchange();
        Thread.sleep(200);
    }

    private final class Vm {
        private final UpstreamTracks tracks = new UpstreamTracks(clock);
        private final WorkExchange exchange;

        Vm(String name) {
            VmId vm = new VmId(name);
            PeerNetwork network = hub.join(new Peer(vm, Incarnation.draw(), new AvailabilityZone("zone-a")));
            exchange = new WorkExchange(vm, network, tracks, clock, new MetricRegistry());
        }

        Candidate candidate() {
            return tracks.candidates(List.of(ENGINE)).getFirst();
        }
    }
}
