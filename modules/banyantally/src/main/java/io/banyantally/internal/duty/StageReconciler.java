package io.banyantally.internal.duty;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.StageOrderOutcome;
import io.banyantally.platform.StageOrdering;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Predicate;

/** Reconciles the stages of engines with {@link StageTargets} by ordering stage changes. */
public final class StageReconciler {

    /** How often to call {@link #run}. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** Time within which an engine may carry out an order; the order is not repeated earlier. */
    static final Duration REPEAT_DELAY = Duration.ofSeconds(14);

    /**
     * Delay between two orders of a service, so that few engines change at once and each change is visible before the
     * next.
     */
    static final Duration CHANGE_DELAY = Duration.ofMillis(1500);

    private static final EventLog LOG = EventLog.of(StageReconciler.class);

    private final ReplicaRegistry replicas;
    private final FleetReconciler fleet;
    private final StageOrdering ordering;
    private final EngineChangeListener changes;
    private final DutyCallLog log;
    private final OrderThrottle<UpstreamId> engineThrottle;
    private final OrderThrottle<ServiceName> serviceThrottle;
    private final Map<UpstreamId, EngineStage> orderedStages = new HashMap<>();

    /**
     * Creates a reconciler that has ordered nothing.
     *
     * @param fleet knows the engines that are given back
     * @param changes is told of engines that carry out an order and refuse requests meanwhile
     */
    public StageReconciler(
            ReplicaRegistry replicas,
            FleetReconciler fleet,
            StageOrdering ordering,
            EngineChangeListener changes,
            MonotonicClock clock) {
        this.changes = changes;
        this.replicas = replicas;
        this.fleet = fleet;
        this.ordering = ordering;
        this.log = new DutyCallLog(LOG, clock);
        this.engineThrottle = new OrderThrottle<>(clock);
        this.serviceThrottle = new OrderThrottle<>(clock);
    }

    /** Places at most one order for each service, while the holder may act. */
    public void run(DutyHolder holder, ActiveConfiguration configuration) throws InterruptedException {
        for (ServiceRule service : configuration.document().services()) {
            if (service.engine().isPresent() && serviceThrottle.isDue(service.name())) {
                Predicate<ReplicaEntry> givenBack = service.scaling()
                        .map(rule -> fleet.givenBack(service.name(), rule))
                        .orElse(engine -> false);
                run(holder, service.name(), service.engine().get().stageChangeTime(), givenBack);
            }
        }
    }

    private void run(DutyHolder holder, ServiceName service, Duration changeTime, Predicate<ReplicaEntry> givenBack)
            throws InterruptedException {
        Map<ReplicaEntry, EngineStage> stageChanges = StageTargets.changes(
                replicas.accepting(service).stream().map(this::withOrderedStage).toList(), givenBack);
        for (Map.Entry<ReplicaEntry, EngineStage> change : stageChanges.entrySet()) {
            ReplicaEntry engine = change.getKey();
            if (engineThrottle.isDue(engine.id()) && holder.permission().isGranted()) {
                order(holder, engine, change.getValue(), changeTime);
                serviceThrottle.block(service, CHANGE_DELAY);
                return;
            }
        }
    }

    /** Returns the entry with the stage that was ordered, as long as the engine may still carry out the order. */
    private ReplicaEntry withOrderedStage(ReplicaEntry engine) {
        EngineStage stage = orderedStages.get(engine.id());
        return stage == null || engineThrottle.isDue(engine.id()) ? engine : engine.withStage(stage);
    }

    private void order(DutyHolder holder, ReplicaEntry engine, EngineStage stage, Duration changeTime)
            throws InterruptedException {
        engineThrottle.block(engine.id(), REPEAT_DELAY);
        DutyCallLog.Entry line = log.begin(
                "stage_ordered", holder, replicas.sinceRead(engine.id()), EventField.of("upstream", engine.id()));
        EventField[] details = {EventField.of("stage", stage), EventField.of("zone", engine.zone())};
        try {
            StageOrderOutcome outcome = ordering.order(holder, engine, stage);
            if (outcome.isInForce()) {
                orderedStages.put(engine.id(), stage);
            }
            if (outcome == StageOrderOutcome.ACCEPTED || outcome == StageOrderOutcome.BUSY) {
                changes.begun(engine, changeTime);
            }
            line.answered(outcome.name().toLowerCase(Locale.ROOT), details);
        } catch (PlatformException failure) {
            line.failed(failure, details);
        }
    }
}
