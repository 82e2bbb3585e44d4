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

/** Records the effects at the receivers and reports violated invariants, independently of the owners' state. */
final class SiteCheck {

    private final SimulatedSite site;
    private final Map<Promise, List<String>> violations = new EnumMap<>(Promise.class);
    private final Map<UpstreamId, EngineOrder> lastOrders = new HashMap<>();
    private FencingNumber highestEffective = FencingNumber.NONE;
    private int effects;

    SiteCheck(SimulatedSite site) {
        this.site = site;
    }

    void checkEngineOrder(SimulatedEngine engine, SimulatedVm vm, EngineOrder order) {
        recordEffect(order.fencingNumber());
        EngineOrder last = lastOrders.put(engine.id, order);
        if (last != null
                && (last.fencingNumber().isAfter(order.fencingNumber()) || last.sequence() >= order.sequence())) {
            fail(Promise.NO_CONFLICTING_ORDERS, engine.id + ": " + order + " took effect after " + last);
        }
        if (!engine.prepared.contains(vm)) {
            fail(
                    Promise.NO_CONFLICTING_ORDERS,
                    engine.id + ": an order took effect before its change was announced to routing");
        }
    }

    /** Called for every order that takes effect at an engine or at the ordering interface. */
    void recordEffect(FencingNumber fencingNumber) {
        effects++;
        if (highestEffective.isAfter(fencingNumber)) {
            fail(
                    Promise.STALE_AUTHORITY_HARMLESS,
                    "owner " + fencingNumber + " had an effect after owner " + highestEffective);
        } else {
            highestEffective = fencingNumber;
        }
    }

    void checkUpstreamCount(boolean cheap, int count) {
        if (count > SimulatedSite.highestTarget(cheap)) {
            fail(Promise.SINGLE_UPSTREAM_ORDERER, count + " upstreams exceed every target; cheap=" + cheap);
        }
    }

    int effects() {
        return effects;
    }

    FencingNumber highestEffective() {
        return highestEffective;
    }

    void fail(Promise promise, String detail) {
        violations
                .computeIfAbsent(promise, none -> new ArrayList<>())
                .add("at " + site.simulation.now() / 1_000_000 + " ms: " + detail);
    }

    List<String> violations(Promise promise) {
        return violations.getOrDefault(promise, List.of());
    }

    Map<Promise, List<String>> allViolations() {
        return violations;
    }
}
