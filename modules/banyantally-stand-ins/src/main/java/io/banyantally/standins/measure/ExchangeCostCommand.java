package io.banyantally.standins.measure;

import io.banyantally.internal.admission.AdmissionRefusedException;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures bytes and time of the exchange of load and demand between VMs in one process, without TCP. */
@Command(
        name = "exchanges",
        mixinStandardHelpOptions = true,
        description = "Messages, bytes and processor time of the exchange of load and demand between VMs.")
public final class ExchangeCostCommand implements Callable<Integer> {

    private static final String LOAD = "routing.load";
    private static final String DEMAND = "admission.demand";
    private static final int ROUNDS = 20;

    /** Rounds per second of each exchange, as the daemon runs them. */
    private static final int LOAD_ROUNDS_PER_SECOND = 10;

    private static final int DEMAND_ROUNDS_PER_SECOND = 2;
    private static final double NANOS_PER_MICRO = 1e3;

    @Option(names = "--vms", split = ",", defaultValue = "6,12,24", description = "Numbers of connected VMs.")
    private List<Integer> sizes;

    @Option(names = "--requests", split = ",", defaultValue = "20,150", description = "Requests in flight on each VM.")
    private List<Integer> requests;

    @Option(names = "--upstreams", defaultValue = "500", description = "Upstreams of the service.")
    private int upstreams;

    @Option(names = "--accounts", defaultValue = "1000", description = "Client accounts.")
    private int accounts;

    @Override
    public Integer call() throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        System.out.println(
                "vms requests loadBytesPerSecond demandBytesPerSecond loadMicrosPerRound demandMicrosPerRound"
                        + " (bytes sent and received by one VM; time of one VM's round, peers' part included)");
        for (int vms : sizes) {
            for (int inFlight : requests) {
                measure(vms, inFlight);
            }
        }
        return 0;
    }

    private void measure(int vms, int inFlight)
            throws AdmissionRefusedException, InterruptedException, NoUpstreamException {
        FrameCountingNetwork countingNetwork = new FrameCountingNetwork();
        List<FrameCountingNetwork.Node> nodes = new ArrayList<>();
        List<DecisionFixture> fixtures = new ArrayList<>();
        Set<VmId> names = new HashSet<>();
        for (int number = 0; number < vms; number++) {
            VmId vm = new VmId("vm-" + number);
            names.add(vm);
            nodes.add(countingNetwork.join(new Peer(vm, new Incarnation(number + 1), new AvailabilityZone("zone"))));
        }
        for (int number = 0; number < vms; number++) {
            Set<VmId> others = new HashSet<>(names);
            others.remove(new VmId("vm-" + number));
            nodes.get(number).connect(others);
            fixtures.add(new DecisionFixture(new VmId("vm-" + number), nodes.get(number), upstreams, accounts));
        }
        for (int number = 0; number < vms; number++) {
            for (int request = 0; request < inFlight; request++) {
                fixtures.get(number).admitAndRoute(number * inFlight + request);
            }
        }
        double loadMicros = meanRoundMicros(fixtures, DecisionFixture::exchangeLoad, nodes);
        long loadBytes = nodes.getFirst().bytes(LOAD) / ROUNDS;
        double demandMicros = meanRoundMicros(fixtures, DecisionFixture::exchangeDemand, nodes);
        long demandBytes = nodes.getFirst().bytes(DEMAND) / ROUNDS;
        System.out.printf(
                "%d %d %d %d %.0f %.0f%n",
                vms,
                inFlight,
                loadBytes * LOAD_ROUNDS_PER_SECOND,
                demandBytes * DEMAND_ROUNDS_PER_SECOND,
                loadMicros,
                demandMicros);
    }

    /** Runs rounds of all VMs, first to warm up and then counted; returns the mean microseconds of one VM's round. */
    private static double meanRoundMicros(
            List<DecisionFixture> fixtures, Exchange exchange, List<FrameCountingNetwork.Node> nodes) {
        for (int round = 0; round < ROUNDS; round++) {
            fixtures.forEach(exchange::run);
        }
        nodes.forEach(FrameCountingNetwork.Node::reset);
        long start = System.nanoTime();
        for (int round = 0; round < ROUNDS; round++) {
            fixtures.forEach(exchange::run);
        }
        return (System.nanoTime() - start) / NANOS_PER_MICRO / ROUNDS / fixtures.size();
    }

    @FunctionalInterface
    private interface Exchange {

        void run(DecisionFixture fixture);
    }
}
