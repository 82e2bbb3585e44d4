package io.banyantally.internal.exchange;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.routing.Rendezvous;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BinaryOperator;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Names one VM of each availability zone that does a task for the others of its zone. The choice is a rendezvous hash
 * over the connected VMs, so it needs no message. VMs that see different peers may choose different delegates for a
 * moment; tasks must allow that.
 */
public final class ZoneDelegates {

    /** In smaller fleets every VM does the task itself: direct messages are fewer hops and cost little. */
    public static final int MINIMUM_VMS = 17;

    /** How long a delegate that did not respond is passed over. */
    static final Duration AVOIDANCE_TIME = Duration.ofSeconds(2);

    /** Of several fleets of the largest size, so that VMs that are gone do not stay in memory. */
    private static final int MAXIMUM_WEIGHTS = 10_000;

    private final Peer self;
    private final PeerNetwork peers;
    private final MonotonicClock clock;
    private final String task;
    private final Map<VmId, Long> failedAt = new ConcurrentHashMap<>();
    private final Map<VmId, Long> weights = new ConcurrentHashMap<>();

    /** Creates the choice for a task; different tasks get different delegates. */
    public ZoneDelegates(Peer self, PeerNetwork peers, MonotonicClock clock, String task) {
        this.self = self;
        this.peers = peers;
        this.clock = clock;
        this.task = task;
    }

    /** Returns whether the fleet is large enough for delegates. */
    public boolean areUsed() {
        return peers.peers().size() + 1 >= MINIMUM_VMS;
    }

    /** Returns the delegate of this VM's zone; empty if it is this VM, or if the fleet needs no delegates. */
    public Optional<VmId> ofOwnZone() {
        if (!areUsed()) {
            return Optional.empty();
        }
        return Stream.concat(Stream.of(self), responsive().stream())
                .filter(peer -> peer.zone().equals(self.zone()))
                .max(ranking())
                .map(Peer::vm)
                .filter(vm -> !vm.equals(self.vm()));
    }

    /** Returns the delegates of the other zones. */
    public List<VmId> ofOtherZones() {
        Map<AvailabilityZone, Peer> byZone = responsive().stream()
                .filter(peer -> !peer.zone().equals(self.zone()))
                .collect(Collectors.toMap(Peer::zone, Function.identity(), BinaryOperator.maxBy(ranking())));
        return byZone.values().stream().map(Peer::vm).toList();
    }

    /** Passes over a delegate that did not respond, for a short time. */
    public void recordFailure(VmId vm) {
        failedAt.put(vm, clock.nanoTime());
    }

    private List<Peer> responsive() {
        failedAt.values().removeIf(failure -> clock.since(failure).compareTo(AVOIDANCE_TIME) >= 0);
        return peers.peers().stream()
                .filter(peer -> !failedAt.containsKey(peer.vm()))
                .toList();
    }

    private Comparator<Peer> ranking() {
        return Comparator.comparingLong((Peer peer) -> weight(peer.vm())).thenComparing(Peer::vm);
    }

    /** The weight of a VM never changes, and each choice compares those of all peers. */
    private long weight(VmId vm) {
        if (weights.size() > MAXIMUM_WEIGHTS) {
            weights.clear();
        }
        return weights.computeIfAbsent(vm, unknown -> Rendezvous.weight(task, unknown));
    }
}
