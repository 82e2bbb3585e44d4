package io.banyantally.internal.fleet;

import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.internal.fleet.DemandReport.ServiceRate;
import io.banyantally.internal.fleet.DemandReport.VmDemand;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Sums the demand on all VMs. Every VM sends its demand to the readers of its zone. A reader also asks its peers for
 * the demand that they received, so the owner of a plan, which is a reader in a large fleet, knows the demand on all
 * VMs.
 */
public final class FleetDemand implements DemandView {

    /** Demand varies within minutes, so a plan does not need it more often. */
    static final Duration INTERVAL = Duration.ofSeconds(2);

    /**
     * The demand of a VM is counted for this long after it was measured; the callers of a crashed VM use other VMs by
     * then.
     */
    static final Duration DEMAND_RETENTION = Duration.ofSeconds(10);

    private static final Topic TOPIC = new Topic("fleet.demand");
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Peer self;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final DemandMeter meter;
    private final Map<VmId, MeasuredDemand> demandByVm = new ConcurrentHashMap<>();
    private volatile boolean stopped;
    private volatile Thread task;
    private long lastRoundAt;
    private boolean hasRun;

    private record MeasuredDemand(Map<ServiceName, Demand> demands, long measuredAt) {}

    /** Registers the handler for requests of peers; sends nothing before {@link #start()}. */
    public FleetDemand(Peer self, PeerNetwork network, MonotonicClock clock, DemandMeter meter) {
        this.self = self;
        this.network = network;
        this.clock = clock;
        this.meter = meter;
        this.lastRoundAt = clock.nanoTime();
        network.handle(TOPIC, (sender, payload) -> {
            DemandReport report = DemandReport.CODEC.decode(payload);
            merge(report);
            return DemandReport.CODEC.encode(new DemandReport(false, report.wantsOthers() ? allDemands() : List.of()));
        });
    }

    /** Starts to exchange demand with peers every {@link #INTERVAL}. */
    public void start() {
        task = Thread.ofVirtual().name("fleet-demand").start(this::run);
    }

    /** Stops exchanging demand; requests of peers are still answered. */
    public void stop() {
        stopped = true;
        Thread running = task;
        if (running != null) {
            running.interrupt();
        }
    }

    private void run() {
        try {
            while (!stopped) {
                Thread.sleep(INTERVAL);
                runRound();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Measures the demand on this VM and exchanges it with peers. */
    void runRound() {
        long now = clock.nanoTime();
        demandByVm.put(self.vm(), new MeasuredDemand(Map.copyOf(meter.drain(Math.max(1, now - lastRoundAt))), now));
        lastRoundAt = now;
        hasRun = true;
        demandByVm.values().removeIf(entry -> now - entry.measuredAt() > DEMAND_RETENTION.toNanos());
        List<Peer> live = new ArrayList<>(network.peers());
        live.add(self);
        Set<VmId> readers = ReaderChoice.readers(self.zone(), live);
        boolean isReader = readers.contains(self.vm());
        for (Peer peer : live) {
            if (!peer.vm().equals(self.vm()) && (isReader || readers.contains(peer.vm()))) {
                exchange(peer.vm(), isReader);
            }
        }
    }

    private void exchange(VmId peer, boolean wantsOthers) {
        try {
            DemandReport own = new DemandReport(wantsOthers, List.of(toWire(self.vm(), demandByVm.get(self.vm()))));
            merge(DemandReport.CODEC.decode(
                    network.request(peer, TOPIC, DemandReport.CODEC.encode(own), REQUEST_TIMEOUT)));
        } catch (PeerException unreachable) {
            // The last demand of the peer counts until it expires.
        }
    }

    private void merge(DemandReport report) {
        long now = clock.nanoTime();
        for (VmDemand entry : report.vms()) {
            VmId vm = new VmId(entry.vm());
            long measuredAt = now - entry.ageMillis() * NANOS_PER_MILLI;
            if (vm.equals(self.vm())) {
                continue;
            }
            Map<ServiceName, Demand> demands = new ConcurrentHashMap<>();
            for (ServiceRate rate : entry.services()) {
                demands.put(new ServiceName(rate.service()), new Demand(rate.prompt(), rate.output(), rate.longPart()));
            }
            demandByVm.merge(
                    vm,
                    new MeasuredDemand(demands, measuredAt),
                    (known, received) -> received.measuredAt() - known.measuredAt() > 0 ? received : known);
        }
    }

    private List<VmDemand> allDemands() {
        List<VmDemand> all = new ArrayList<>();
        demandByVm.forEach((vm, entry) -> all.add(toWire(vm, entry)));
        return all;
    }

    private VmDemand toWire(VmId vm, MeasuredDemand entry) {
        List<ServiceRate> rates = new ArrayList<>();
        entry.demands()
                .forEach((service, demand) -> rates.add(new ServiceRate(
                        service.value(),
                        demand.prefillTokensPerSecond(),
                        demand.outputTokensPerSecond(),
                        demand.longPromptFraction())));
        return new VmDemand(vm.value(), (clock.nanoTime() - entry.measuredAt()) / NANOS_PER_MILLI, rates);
    }

    @Override
    public Optional<Demand> demand(ServiceName service) {
        if (!hasRun) {
            return Optional.empty();
        }
        long now = clock.nanoTime();
        double prompt = 0;
        double output = 0;
        double longPrompt = 0;
        for (MeasuredDemand entry : demandByVm.values()) {
            Demand demand = entry.demands().get(service);
            if (demand != null && now - entry.measuredAt() <= DEMAND_RETENTION.toNanos()) {
                prompt += demand.prefillTokensPerSecond();
                output += demand.outputTokensPerSecond();
                longPrompt += demand.longPromptFraction() * demand.prefillTokensPerSecond();
            }
        }
        return Optional.of(new Demand(prompt, output, prompt <= 0 ? 0 : Math.min(1, longPrompt / prompt)));
    }
}
