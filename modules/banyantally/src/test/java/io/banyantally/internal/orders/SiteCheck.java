package io.banyantally.internal.orders;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineOrder;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Judges at the receivers' side what took effect, independently of what the owners believe. */
final class SiteCheck {

    private final SimulatedSite site;
    private final Map<Promise, List<String>> violations = new EnumMap<>(Promise.class);
    private final Map<UpstreamId, EngineOrder> lastOrders = new HashMap<>();
    private FencingNumber highestActed = FencingNumber.NONE;
    private int effects;

    SiteCheck(SimulatedSite site) {
        this.site = site;
    }

    void engineOrder(SimulatedEngine engine, SimulatedVm vm, EngineOrder order) {
        action(order.fencingNumber());
        EngineOrder last = lastOrders.put(engine.id, order);
        if (last != null
                && (last.fencingNumber().isAfter(order.fencingNumber()) || last.sequence() >= order.sequence())) {
            fail(Promise.NO_CONFLICTING_ORDERS, engine.id + ": " + order + " took effect after " + last);
        }
        if (!engine.prepared.contains(vm)) {
            fail(Promise.NO_CONFLICTING_ORDERS, engine.id + ": ordered before routing was told");
        }
    }

    /** Called for every action that takes effect at an engine or at the ordering interface. */
    void action(FencingNumber fencingNumber) {
        effects++;
        if (highestActed.isAfter(fencingNumber)) {
            fail(Promise.STALE_AUTHORITY_HARMLESS, "owner " + fencingNumber + " acted after owner " + highestActed);
        } else {
            highestActed = fencingNumber;
        }
    }

    void ordered(boolean cheap, int count) {
        if (count > SimulatedSite.highestTarget(cheap)) {
            fail(Promise.SINGLE_UPSTREAM_ORDERER, count + " upstreams are more than any target; cheap=" + cheap);
        }
    }

    int effects() {
        return effects;
    }

    FencingNumber highestActed() {
        return highestActed;
    }

    void fail(Promise promise, String detail) {
        violations
                .computeIfAbsent(promise, none -> new ArrayList<>())
                .add("at " + site.simulation.now() / 1_000_000 + " ms: " + detail);
    }

    List<String> violations(Promise promise) {
        return violations.getOrDefault(promise, List.of());
    }

    Map<Promise, List<String>> all() {
        return violations;
    }
}
