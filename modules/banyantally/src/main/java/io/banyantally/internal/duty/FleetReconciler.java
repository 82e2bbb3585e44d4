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
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/** Reconciles the number of running upstreams with {@link FleetTargets} by ordering from the platform. */
public final class FleetReconciler {

    /**
     * How often to call {@link #run}. A reclaim takes two rounds: one finds the kind sold out, one orders the other
     * kind.
     */
    public static final Duration INTERVAL = Duration.ofMillis(400);

    /** Added to the boot time before an order without effect is repeated. */
    static final Duration REPEAT_MARGIN = Duration.ofSeconds(2);

    /** Delay between orders for a zone that has no upstreams available; each call is charged. */
    static final Duration SOLD_OUT_DELAY = Duration.ofSeconds(4);

    /** The share of refused prompts above which regular upstreams replace those that were reclaimed. */
    static final double REFUSED_SHARE_TO_REPLACE = 0.05;

    private static final EventLog LOG = EventLog.of(FleetReconciler.class);

    private final ReplicaRegistry replicas;
    private final ReplicaOrdering ordering;
    private final OrderThrottle<OrderKey> throttle;
    private final DutyCallLog log;
    private final DoubleSupplier refusedShare;
    private final ToIntFunction<ReplicaEntry> requestsAt;
    private final MonotonicClock clock;
    private final Map<ServiceName, ZoneCount> zoneCounts = new HashMap<>();

    /** Also read by {@link #givenBack}, on other threads than that of the orders. */
    private final Map<ServiceName, Integer> countInZone = new ConcurrentHashMap<>();

    private final Map<ServiceName, Set<AvailabilityZone>> soldOutZones = new HashMap<>();

    /** Also read by {@link #givenBack}, on other threads than that of the orders. */
    private final Map<ServiceName, Set<AvailabilityZone>> replacementZones = new ConcurrentHashMap<>();

    /**
     * Creates a reconciler without orders.
     *
     * @param refusedShare returns the share of prompts that are refused, 0 to 1
     * @param requestsAt returns the requests that all VMs have at an upstream, as far as known
     */
    public FleetReconciler(
            ReplicaRegistry replicas,
            ReplicaOrdering ordering,
            DoubleSupplier refusedShare,
            ToIntFunction<ReplicaEntry> requestsAt,
            MonotonicClock clock) {
        this.requestsAt = requestsAt;
        this.clock = clock;
        this.refusedShare = refusedShare;
        this.replicas = replicas;
        this.ordering = ordering;
        this.throttle = new OrderThrottle<>(clock);
        this.log = new DutyCallLog(LOG, clock);
    }

    /** Places the orders that are needed now, while the holder may act. */
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
        List<FleetTarget> targets =
                FleetTargets.of(rule, zonesToReplace(service, running), countInZone(service, running, rule));
        for (FleetTarget target : targets) {
            int runningCount = count(running, target);
            boolean orderNeeded = runningCount < target.count() || isGivenBack(running, target, targets);
            OrderKey key = new OrderKey(service, target);
            if (orderNeeded && throttle.isDue(key)) {
                order(holder, key, rule, runningCount);
            }
        }
    }

    /**
     * Returns which upstreams of a service the targets give back: those of a zone and kind of which more run than should.
     * The platform chooses among them.
     */
    Predicate<ReplicaEntry> givenBack(ServiceName service, ScalingRule rule) {
        List<ReplicaEntry> running = replicas.accepting(service);
        List<FleetTarget> targets = FleetTargets.of(
                rule,
                replacementZones.getOrDefault(service, Set.of()),
                countInZone.getOrDefault(service, rule.maximum()));
        List<FleetTarget> exceeded = targets.stream()
                .filter(target -> isGivenBack(running, target, targets))
                .toList();
        return upstream -> exceeded.stream().anyMatch(target -> target.includes(upstream));
    }

    private int countInZone(ServiceName service, List<ReplicaEntry> running, ScalingRule rule) {
        boolean refusing = refusedShare.getAsDouble() > REFUSED_SHARE_TO_REPLACE;
        int count = zoneCounts
                .computeIfAbsent(service, name -> new ZoneCount())
                .next(running, rule, requestsAt, refusing, clock.nanoTime());
        countInZone.put(service, count);
        return count;
    }

    /** Regular upstreams are given back only when reclaimable ones serve in their place. */
    private static boolean isGivenBack(List<ReplicaEntry> running, FleetTarget target, List<FleetTarget> targets) {
        return count(running, target) > target.count() && (target.cheap() || hasSubstitutes(running, target, targets));
    }

    /**
     * Returns the zones in which regular upstreams replace reclaimable ones: those that have none available and lost
     * all of theirs, from the time at which requests are refused until reclaimable ones run again.
     */
    private Set<AvailabilityZone> zonesToReplace(ServiceName service, List<ReplicaEntry> running) {
        Set<AvailabilityZone> soldOutNow = new HashSet<>(soldOutZones.getOrDefault(service, Set.of()));
        running.stream().filter(ReplicaEntry::cheap).map(ReplicaEntry::zone).forEach(soldOutNow::remove);
        Set<AvailabilityZone> zonesToReplace = new HashSet<>(replacementZones.getOrDefault(service, Set.of()));
        zonesToReplace.retainAll(soldOutNow);
        if (refusedShare.getAsDouble() > REFUSED_SHARE_TO_REPLACE) {
            zonesToReplace.addAll(soldOutNow);
        }
        replacementZones.put(service, Set.copyOf(zonesToReplace));
        return zonesToReplace;
    }

    /** Returns whether reclaimable upstreams serve in a zone, or none should run there. */
    private static boolean hasSubstitutes(List<ReplicaEntry> running, FleetTarget target, List<FleetTarget> targets) {
        FleetTarget cheap = targets.stream()
                .filter(other -> other.cheap() && other.zone().equals(target.zone()))
                .findFirst()
                .orElseThrow();
        return cheap.count() == 0 || count(running, cheap) > 0;
    }

    private static int count(List<ReplicaEntry> running, FleetTarget target) {
        return (int) running.stream().filter(target::includes).count();
    }

    private void order(DutyHolder holder, OrderKey key, ScalingRule rule, int runningCount)
            throws InterruptedException {
        if (!holder.permission().isGranted()) {
            return;
        }
        FleetTarget target = key.target();
        Duration delay = rule.bootTime().plus(REPEAT_MARGIN);
        DutyCallLog.Entry line = log.begin(
                "upstreams_ordered",
                holder,
                replicas.sinceCaughtUp(),
                EventField.of("service", key.service()),
                EventField.of("zone", target.zone()),
                EventField.of("cheap", target.cheap()));
        EventField[] details = {EventField.of("count", target.count()), EventField.of("present", runningCount)};
        try {
            boolean accepted = ordering.order(holder, key.service(), target.zone(), target.cheap(), target.count());
            delay = accepted ? delay : SOLD_OUT_DELAY;
            if (target.cheap()) {
                Set<AvailabilityZone> soldOut = soldOutZones.computeIfAbsent(key.service(), name -> new HashSet<>());
                if (accepted) {
                    soldOut.remove(target.zone());
                } else {
                    soldOut.add(target.zone());
                }
            }
            line.answered(accepted ? "accepted" : "none_available", details);
        } catch (PlatformException failure) {
            line.failed(failure, details);
            delay = SOLD_OUT_DELAY;
        }
        throttle.block(key, delay);
    }

    private record OrderKey(ServiceName service, FleetTarget target) {}
}
