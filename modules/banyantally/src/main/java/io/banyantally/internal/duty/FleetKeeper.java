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
import java.util.function.DoubleSupplier;

/** Orders upstreams until the fleet is what {@link FleetTargets} asks for. */
public final class FleetKeeper {

    /** Rounds of the keeper: a reclaim needs two, one that finds the kind sold out and one that orders others. */
    public static final Duration INTERVAL = Duration.ofMillis(400);

    /** Added to the boot time before an order that shows no effect is repeated. */
    static final Duration REPEAT_MARGIN = Duration.ofSeconds(2);

    /** Between orders for a zone that has none to give; each call is paid. */
    static final Duration SOLD_OUT_DELAY = Duration.ofSeconds(4);

    /** The share of refused prompts from which other upstreams replace those that were reclaimed. */
    static final double REFUSED_SHARE_TO_REPLACE = 0.05;

    private static final EventLog LOG = EventLog.of(FleetKeeper.class);

    private final ReplicaRegistry replicas;
    private final ReplicaOrdering ordering;
    private final OrderPacing<OrderKey> pacing;
    private final DoubleSupplier refusedShare;
    private final Map<ServiceName, Set<AvailabilityZone>> refusedIn = new HashMap<>();
    private final Map<ServiceName, Set<AvailabilityZone>> replacedIn = new HashMap<>();

    /** Creates a keeper that has ordered nothing. */
    public FleetKeeper(
            ReplicaRegistry replicas, ReplicaOrdering ordering, DoubleSupplier refusedShare, MonotonicClock clock) {
        this.refusedShare = refusedShare;
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
        List<FleetTarget> targets = FleetTargets.of(rule, replaced(service, running));
        for (FleetTarget target : targets) {
            int present = count(running, target);
            // Upstreams are given back only when their cheaper substitutes serve.
            boolean wanted = present < target.count()
                    || (present > target.count() && (target.cheap() || hasSubstitutes(running, target, targets)));
            OrderKey key = new OrderKey(service, target);
            if (wanted && pacing.isDue(key)) {
                order(holder, key, rule, present);
            }
        }
    }

    /**
     * Returns the zones in which others replace reclaimable upstreams: those that have none to give and have lost all of
     * theirs, from the moment at which requests are refused until reclaimable ones are back.
     */
    private Set<AvailabilityZone> replaced(ServiceName service, List<ReplicaEntry> running) {
        Set<AvailabilityZone> soldOut = new HashSet<>(refusedIn.getOrDefault(service, Set.of()));
        running.stream().filter(ReplicaEntry::cheap).map(ReplicaEntry::zone).forEach(soldOut::remove);
        Set<AvailabilityZone> replaced = replacedIn.computeIfAbsent(service, name -> new HashSet<>());
        replaced.retainAll(soldOut);
        if (refusedShare.getAsDouble() > REFUSED_SHARE_TO_REPLACE) {
            replaced.addAll(soldOut);
        }
        return replaced;
    }

    /** Returns whether reclaimable upstreams serve in a zone, or none are wanted there. */
    private static boolean hasSubstitutes(List<ReplicaEntry> running, FleetTarget target, List<FleetTarget> targets) {
        FleetTarget cheap = targets.stream()
                .filter(other -> other.cheap() && other.zone().equals(target.zone()))
                .findFirst()
                .orElseThrow();
        return cheap.count() == 0 || count(running, cheap) > 0;
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
