package io.banyantally.standins.experiment;

import io.banyantally.internal.admission.FairAdmission;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.routing.LoadAwareRouter;
import io.banyantally.internal.routing.RouterSettings;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** One entry VM of a run, with its own instances of the library's router and admission. */
final class SimulatedVm {
    private static final long EXCHANGE_INTERVAL_NANOS = 100_000_000L;
    private static final long POLL_INTERVAL_NANOS = 500_000_000L;
    private static final long DEMAND_INTERVAL_NANOS = 500_000_000L;
    private static final int TIMELINE_EVENTS = 100;

    private final LoadAwareRouter router;
    private final FairAdmission admission;
    private long nextExchange;
    private long nextPoll;
    private long nextDemand;

    SimulatedVm(int number, Simulation simulation, ConfigurationView configuration, SimulatedPeers peers) {
        VmId id = vmId(number);
        Incarnation incarnation = new Incarnation(number + 1L);
        var zone = simulation.trace().site().zones().get(number / 2);
        var network = peers.join(new Peer(id, incarnation, zone));
        RandomGenerator random = new SplittableRandom(simulation.trace().seed() * 1_000 + number);
        router = new LoadAwareRouter(
                id,
                simulation.clock(),
                service -> simulation.fleet().listed(),
                new SimulatedConnector(simulation.fleet()),
                configuration,
                network,
                new Timeline(id, incarnation, TIMELINE_EVENTS, event -> {}),
                RouterSettings.in(zone),
                () -> random);
        admission = new FairAdmission(id, simulation.clock(), router, configuration, network);
        // Offsets the intervals of the VMs, so that their periodic work does not coincide.
        nextExchange = number * EXCHANGE_INTERVAL_NANOS / Site.VMS;
        nextPoll = number * POLL_INTERVAL_NANOS / Site.VMS;
        nextDemand = number * DEMAND_INTERVAL_NANOS / Site.VMS;
    }

    static VmId vmId(int number) {
        return new VmId("entry-" + number);
    }

    LoadAwareRouter router() {
        return router;
    }

    FairAdmission admission() {
        return admission;
    }

    void tick(long now) {
        if (now >= nextPoll) {
            nextPoll = now + POLL_INTERVAL_NANOS;
            router.poll();
        }
        if (now >= nextExchange) {
            nextExchange = now + EXCHANGE_INTERVAL_NANOS;
            router.exchange();
        }
        if (now >= nextDemand) {
            nextDemand = now + DEMAND_INTERVAL_NANOS;
            admission.exchangeDemand();
        }
        admission.admitWaiting();
    }
}
