package io.banyantally.standins.engine;

import io.banyantally.model.FencingNumber;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.EngineTarget;
import java.util.ArrayList;
import java.util.List;

/** Applies orders to the target of an engine. No new generation starts while a change is in progress. */
final class OrderProcessor {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final boolean ignoreFencing;
    private final long changeNanos;
    private final long startedAt = System.nanoTime();
    private final List<ReceivedOrder> received = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private EngineTarget target;
    private FencingNumber highestSeen = FencingNumber.NONE;
    private long lastSequence;
    private long changeEndsAt;
    private boolean changing;

    OrderProcessor(EngineTarget initial, boolean ignoreFencing, long changeMillis) {
        this.target = initial;
        this.ignoreFencing = ignoreFencing;
        this.changeNanos = changeMillis * NANOS_PER_MILLI;
    }

    /** Applies an order unless its fencing number is stale and not ignored. Returns whether it was applied. */
    synchronized boolean apply(EngineOrder order) {
        boolean stale = highestSeen.isAfter(order.fencingNumber());
        boolean accepted = !stale || ignoreFencing;
        received.add(new ReceivedOrder(order, accepted, (System.nanoTime() - startedAt) / NANOS_PER_MILLI));
        if (!accepted) {
            return false;
        }
        recordViolations(order, stale);
        if (!stale) {
            highestSeen = order.fencingNumber();
        }
        lastSequence = order.sequence();
        if (!order.target().equals(target)) {
            target = order.target();
            changing = true;
            changeEndsAt = System.nanoTime() + changeNanos;
        }
        return true;
    }

    private void recordViolations(EngineOrder order, boolean stale) {
        boolean changesTarget = !order.target().equals(target);
        if (stale && changesTarget) {
            violations.add("order " + order + " was applied after fencing number " + highestSeen);
        }
        if (changesTarget && isChanging()) {
            violations.add("order " + order + " conflicts with the change to " + target + " in progress");
        }
        if (!stale && changesTarget && order.fencingNumber().equals(highestSeen) && order.sequence() <= lastSequence) {
            violations.add("order " + order + " has no higher sequence than " + lastSequence + " and another target");
        }
    }

    synchronized boolean isChanging() {
        if (changing && System.nanoTime() - changeEndsAt >= 0) {
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
