package io.banyantally.internal.membership;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/** Knows the entry VMs that are alive and gives callers their addresses, nearest availability zone first. */
public final class Membership {

    /** How long it takes at most until no peer gives a draining VM's address: one heartbeat and its answer. */
    public static final Duration MAXIMUM_PROPAGATION_TIME = Heartbeats.INTERVAL.multipliedBy(2);

    /** Room for one VM of each of 20 zones and some of the nearest. */
    public static final int MAXIMUM_ADDRESSES = 24;

    private final Peer self;
    private final Map<AvailabilityZone, Double> distances;
    private final Heartbeats heartbeats;
    private volatile InetSocketAddress callers;
    private volatile boolean draining;

    /** Creates the membership of {@code self}; distances are one-way milliseconds from its zone. */
    public Membership(
            Peer self,
            Map<AvailabilityZone, Double> distances,
            PeerNetwork network,
            MonotonicClock clock,
            Timeline timeline) {
        this.self = self;
        this.distances = Map.copyOf(distances);
        this.heartbeats = new Heartbeats(network, clock, timeline, this::heartbeat);
    }

    /** Starts heartbeats; callers connect at {@code callersAddress}. */
    public void start(InetSocketAddress callersAddress) {
        callers = callersAddress;
        heartbeats.start();
    }

    /** Stops heartbeats. */
    public void stop() {
        heartbeats.stop();
    }

    /** Takes this VM out of the addresses that it and its peers give. */
    public void startDraining() {
        draining = true;
    }

    /** Returns whether this VM is draining. */
    public boolean isDraining() {
        return draining;
    }

    private HeartbeatMessage heartbeat() {
        InetSocketAddress address = callers;
        return address == null
                ? new HeartbeatMessage("0.0.0.0", 0, true)
                : new HeartbeatMessage(address.getAddress().getHostAddress(), address.getPort(), draining);
    }

    /**
     * Returns addresses of VMs that are alive and not draining, nearest zone first: all that are known if there are at most
     * {@value #MAXIMUM_ADDRESSES}, otherwise that many, with at least one of each zone.
     *
     * @param near the zone to start from; this VM's own if empty
     */
    public List<CallerAddress> addresses(Optional<AvailabilityZone> near) {
        Stream<CallerAddress> others = heartbeats.alive().stream()
                .filter(member -> !member.draining())
                .map(member ->
                        new CallerAddress(member.peer().vm(), member.peer().zone(), member.callers()));
        Stream<CallerAddress> own = draining || callers == null
                ? Stream.empty()
                : Stream.of(new CallerAddress(self.vm(), self.zone(), callers));
        AvailabilityZone origin = near.orElse(self.zone());
        Comparator<CallerAddress> nearest =
                Comparator.comparingDouble((CallerAddress address) -> distance(origin, address.zone()));
        // Each VM draws its own order, so that callers of many VMs are not all sent to the same few.
        List<CallerAddress> drawn = Stream.concat(own, others)
                .sorted(nearest.thenComparingLong(address -> PeerChoice.weight(self.vm(), address.vm())))
                .toList();
        return bounded(drawn).stream()
                .sorted(nearest.thenComparing(CallerAddress::vm))
                .toList();
    }

    private static Collection<CallerAddress> bounded(List<CallerAddress> drawn) {
        if (drawn.size() <= MAXIMUM_ADDRESSES) {
            return drawn;
        }
        Map<AvailabilityZone, CallerAddress> ofEachZone = new LinkedHashMap<>();
        drawn.forEach(address -> ofEachZone.putIfAbsent(address.zone(), address));
        Set<CallerAddress> chosen = new LinkedHashSet<>(ofEachZone.values());
        drawn.stream()
                .filter(address -> !chosen.contains(address))
                .limit(Math.max(0, MAXIMUM_ADDRESSES - chosen.size()))
                .toList()
                .forEach(chosen::add);
        return chosen;
    }

    /** Distances are known from this VM's own zone; from another zone, only "the same" and "not the same" are told apart. */
    private double distance(AvailabilityZone from, AvailabilityZone to) {
        if (from.equals(to)) {
            return 0;
        }
        return from.equals(self.zone()) ? distances.getOrDefault(to, 1.0) : 1.0;
    }
}
