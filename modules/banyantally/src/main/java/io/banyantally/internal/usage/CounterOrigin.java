package io.banyantally.internal.usage;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.Comparator;

/** The process whose usage a counter counts. A restarted VM counts from zero under a new incarnation. */
public record CounterOrigin(VmId vm, Incarnation incarnation) implements Comparable<CounterOrigin> {

    private static final Comparator<CounterOrigin> ORDER =
            Comparator.comparing(CounterOrigin::vm).thenComparing(CounterOrigin::incarnation);

    /** Returns the origin of a peer's own counters. */
    static CounterOrigin of(Peer peer) {
        return new CounterOrigin(peer.vm(), peer.incarnation());
    }

    @Override
    public int compareTo(CounterOrigin other) {
        return ORDER.compare(this, other);
    }
}
