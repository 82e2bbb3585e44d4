package io.banyantally.standins.engine;

import io.banyantally.model.FencingNumber;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.EngineTarget;
import java.util.ArrayList;
import java.util.List;

/** The orders of an engine and the state that they lead to. A change takes its time, during which nothing new runs. */
final class OrderBook {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final boolean ignoreFencing;
    private final long changeNanos;
    private final long startedAt = System.nanoTime();
    private final List<ReceivedOrder> received = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private EngineTarget target;
    private FencingNumber highestSeen = FencingNumber.NONE;
    private long lastSequence;
    private long changedUntil;
    private boolean changing;

    OrderBook(EngineTarget initial, boolean ignoreFencing, long changeMillis) {
        this.target = initial;
        this.ignoreFencing = ignoreFencing;
        this.changeNanos = changeMillis * NANOS_PER_MILLI;
    }

    /** Takes an order and returns whether it has an effect. */
    synchronized boolean take(EngineOrder order) {
        boolean old = highestSeen.isAfter(order.fencingNumber());
        boolean accepted = !old || ignoreFencing;
        received.add(new ReceivedOrder(order, accepted, (System.nanoTime() - startedAt) / NANOS_PER_MILLI));
        if (!accepted) {
            return false;
        }
        noteConflicts(order, old);
        if (!old) {
            highestSeen = order.fencingNumber();
        }
        lastSequence = order.sequence();
        if (!order.target().equals(target)) {
            target = order.target();
            changing = true;
            changedUntil = System.nanoTime() + changeNanos;
        }
        return true;
    }

    private void noteConflicts(EngineOrder order, boolean old) {
        boolean opposes = !order.target().equals(target);
        if (old && opposes) {
            violations.add("order " + order + " took effect after fencing number " + highestSeen);
        }
        if (opposes && isChanging()) {
            violations.add("order " + order + " opposes the change to " + target + " under way");
        }
        if (!old && opposes && order.fencingNumber().equals(highestSeen) && order.sequence() <= lastSequence) {
            violations.add("order " + order + " has no higher sequence than " + lastSequence + " and another target");
        }
    }

    synchronized boolean isChanging() {
        if (changing && System.nanoTime() - changedUntil >= 0) {
            changing = false;
        }
        return changing;
    }

    synchronized EngineState state() {
        return new EngineState(target, isChanging(), highestSeen, lastSequence);
    }

    synchronized EngineRole role() {
        return target.role();
    }

    synchronized List<ReceivedOrder> received() {
        return List.copyOf(received);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
