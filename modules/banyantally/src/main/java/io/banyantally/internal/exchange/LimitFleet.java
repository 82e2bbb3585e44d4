package io.banyantally.internal.exchange;

import io.banyantally.internal.placement.LimitSharers;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Knows which VMs share the limits of upstreams, and of how many of them the recent sends are known here. VMs count for
 * some time after they have left the list, since the list is short for a moment after an outage of the store.
 */
public final class LimitFleet {

    /** A VM that has started sends nothing to limited upstreams before it knows the others. */
    static final Duration START_TIME = Duration.ofSeconds(3);

    /** A lapsed entry is written again within this time, unless its VM is gone. */
    static final Duration DEPARTED_TIME = Duration.ofSeconds(5);

    /** A peer without messages for longer is disconnected or down. */
    static final Duration HEARD_TIME = Duration.ofMillis(500);

    /** Covers an interval of the exchange between pairs, and its messages. */
    private static final Duration PAIR_KNOWLEDGE_AGE = Duration.ofMillis(100);

    /** Covers the three steps of the exchange over delegates. */
    private static final Duration DELEGATE_KNOWLEDGE_AGE = Duration.ofMillis(400);

    private static final Duration REFRESH_INTERVAL = Duration.ofMillis(100);

    private final Supplier<List<VmId>> members;
    private final MonotonicClock clock;
    private final long startedAt;
    private final Map<VmId, Long> listedAt = new HashMap<>();
    private final Map<VmId, Heard> heardByPeer = new HashMap<>();
    private LimitSharers sharers;
    private long refreshedAt;

    /** Creates the fleet of a VM that has just started; {@code members} returns the listed VMs. */
    public LimitFleet(Supplier<List<VmId>> members, MonotonicClock clock) {
        this.members = members;
        this.clock = clock;
        this.startedAt = clock.nanoTime();
        this.sharers = new LimitSharers(1, 0, PAIR_KNOWLEDGE_AGE);
        this.refreshedAt = startedAt - REFRESH_INTERVAL.toNanos();
    }

    /** Records a message of a peer with the sends of {@code vms} VMs. */
    synchronized void recordHeard(VmId peer, int vms) {
        heardByPeer.put(peer, new Heard(Math.max(1, vms), clock.nanoTime()));
    }

    /** Returns of how many VMs the sends are known, this one included, counting only peers that are accepted. */
    synchronized int heardVms(Predicate<VmId> included) {
        long now = clock.nanoTime();
        int vms = 1;
        // A delegate calls this for each message of its zone, so it creates no objects for each peer.
        for (Iterator<Map.Entry<VmId, Heard>> entries = heardByPeer.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<VmId, Heard> peer = entries.next();
            if (now - peer.getValue().at() >= HEARD_TIME.toNanos()) {
                entries.remove();
            } else if (included.test(peer.getKey())) {
                vms += peer.getValue().vms();
            }
        }
        return vms;
    }

    /** Returns the VMs that share the limits, at most 100 ms old. */
    public synchronized LimitSharers sharers() {
        if (clock.since(refreshedAt).compareTo(REFRESH_INTERVAL) >= 0) {
            refreshedAt = clock.nanoTime();
            members.get().forEach(vm -> listedAt.put(vm, refreshedAt));
            listedAt.values().removeIf(time -> clock.since(time).compareTo(DEPARTED_TIME) >= 0);
            boolean started = clock.since(startedAt).compareTo(START_TIME) >= 0;
            sharers = new LimitSharers(
                    Math.max(1, listedAt.size()),
                    started ? heardVms(vm -> true) : 0,
                    listedAt.size() < ZoneDelegates.MINIMUM_VMS ? PAIR_KNOWLEDGE_AGE : DELEGATE_KNOWLEDGE_AGE);
        }
        return sharers;
    }

    private record Heard(int vms, long at) {}
}
