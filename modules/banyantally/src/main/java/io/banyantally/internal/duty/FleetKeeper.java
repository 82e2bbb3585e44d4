package io.banyantally.internal.duty;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ScalingRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.duty.FleetTargets.FleetTarget;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.ReplicaOrdering;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Orders upstreams until the fleet is what {@link FleetTargets} asks for. */
public final class FleetKeeper {

    /** Rounds of the keeper. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Added to the boot time before an order that shows no effect is repeated. */
    static final Duration REPEAT_MARGIN = Duration.ofSeconds(2);

    /** Between orders for a zone that has none to give; each call is paid. */
    static final Duration SOLD_OUT_DELAY = Duration.ofSeconds(4);

    private static final EventLog LOG = EventLog.of(FleetKeeper.class);

    private final ReplicaRegistry replicas;
    private final ReplicaOrdering ordering;
    private final OrderPacing<OrderKey> pacing;
    private final Map<ServiceName, Set<AvailabilityZone>> refusedIn = new HashMap<>();

    /** Creates a keeper that has ordered nothing. */
    public FleetKeeper(ReplicaRegistry replicas, ReplicaOrdering ordering, MonotonicClock clock) {
        this.replicas = replicas;
        this.ordering = ordering;
        this.pacing = new OrderPacing<>(clock);
    }

    /** Places the orders that are needed now. */
    public void run(DutyHolder holder, ActiveConfiguration configuration) throws InterruptedException {
        for (ServiceRule service : configuration.document().services()) {
            if (service.scaling().isPresent()) {
                run(holder, service.name(), service.scaling().get());
            }
        }
    }

    private void run(DutyHolder holder, ServiceName service, ScalingRule rule) throws InterruptedException {
        List<ReplicaEntry> running = replicas.accepting(service);
        if (running.isEmpty()) {
            return;
        }
        List<FleetTarget> targets = FleetTargets.of(rule, soldOut(service, running));
        boolean cheapAreThere = targets.stream()
                .filter(FleetTarget::cheap)
                .allMatch(target -> count(running, target) >= Math.min(1, target.count()));
        for (FleetTarget target : targets) {
            int present = count(running, target);
            // Upstreams are given back only when their cheaper substitutes serve.
            boolean wanted =
                    present < target.count() || (present > target.count() && (target.cheap() || cheapAreThere));
            OrderKey key = new OrderKey(service, target);
            if (wanted && pacing.isDue(key)) {
                order(holder, key, rule, present);
            }
        }
    }

    /** Returns the zones that refused an order of reclaimable upstreams lately and have none. */
    private Set<AvailabilityZone> soldOut(ServiceName service, List<ReplicaEntry> running) {
        Set<AvailabilityZone> zones = new HashSet<>(refusedIn.getOrDefault(service, Set.of()));
        running.stream().filter(ReplicaEntry::cheap).map(ReplicaEntry::zone).forEach(zones::remove);
        return zones;
    }

    private static int count(List<ReplicaEntry> running, FleetTarget target) {
        return (int) running.stream()
                .filter(entry -> entry.zone().equals(target.zone()) && entry.cheap() == target.cheap())
                .count();
    }

    private void order(DutyHolder holder, OrderKey key, ScalingRule rule, int present) throws InterruptedException {
        if (!holder.permission().isGranted()) {
            return;
        }
        FleetTarget target = key.target();
        Duration delay = rule.bootTime().plus(REPEAT_MARGIN);
        String outcome;
        try {
            boolean accepted = ordering.order(holder, key.service(), target.zone(), target.cheap(), target.count());
            outcome = accepted ? "accepted" : "none_available";
            delay = accepted ? delay : SOLD_OUT_DELAY;
            if (target.cheap()) {
                Set<AvailabilityZone> refused = refusedIn.computeIfAbsent(key.service(), name -> new HashSet<>());
                if (accepted) {
                    refused.remove(target.zone());
                } else {
                    refused.add(target.zone());
                }
            }
        } catch (PlatformException failure) {
            outcome = failure.getMessage();
            delay = SOLD_OUT_DELAY;
        }
        pacing.block(key, delay);
        LOG.info(
                "upstreams_ordered",
                EventField.of("service", key.service()),
                EventField.of("zone", target.zone()),
                EventField.of("cheap", target.cheap()),
                EventField.of("count", target.count()),
                EventField.of("present", present),
                EventField.of("fencing", holder.fencing()),
                EventField.of("outcome", outcome));
    }

    private record OrderKey(ServiceName service, FleetTarget target) {}
}
