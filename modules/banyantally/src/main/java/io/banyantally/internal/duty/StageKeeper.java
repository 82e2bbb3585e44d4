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
import io.banyantally.platform.StageOrdering;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Orders engines to change their stages until they are what {@link StageTargets} asks for. */
public final class StageKeeper {

    /** Rounds of the keeper. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** An order may be carried out up to this time after it was sent; it is not repeated before. */
    static final Duration REPEAT_DELAY = Duration.ofSeconds(14);

    /** Between two orders of a service, so that few engines are away at once and each change shows before the next. */
    static final Duration CHANGE_DELAY = Duration.ofMillis(1500);

    private static final EventLog LOG = EventLog.of(StageKeeper.class);

    private final ReplicaRegistry replicas;
    private final StageOrdering ordering;
    private final OrderPacing<UpstreamId> pacing;
    private final OrderPacing<ServiceName> changes;
    private final Map<UpstreamId, EngineStage> ordered = new HashMap<>();

    /** Creates a keeper that has ordered nothing. */
    public StageKeeper(ReplicaRegistry replicas, StageOrdering ordering, MonotonicClock clock) {
        this.replicas = replicas;
        this.ordering = ordering;
        this.pacing = new OrderPacing<>(clock);
        this.changes = new OrderPacing<>(clock);
    }

    /** Places the order that is needed most, if any. */
    public void run(DutyHolder holder, ActiveConfiguration configuration) throws InterruptedException {
        for (ServiceRule service : configuration.document().services()) {
            if (service.engine().isPresent() && changes.isDue(service.name())) {
                run(holder, service.name());
            }
        }
    }

    private void run(DutyHolder holder, ServiceName service) throws InterruptedException {
        Map<ReplicaEntry, EngineStage> wanted = StageTargets.changes(
                replicas.accepting(service).stream().map(this::asOrdered).toList());
        for (Map.Entry<ReplicaEntry, EngineStage> change : wanted.entrySet()) {
            ReplicaEntry engine = change.getKey();
            if (pacing.isDue(engine.id()) && holder.permission().isGranted()) {
                order(holder, engine, change.getValue());
                changes.block(service, CHANGE_DELAY);
                return;
            }
        }
    }

    /** Returns the entry with the stage that was ordered while the order may still be carried out. */
    private ReplicaEntry asOrdered(ReplicaEntry engine) {
        EngineStage stage = ordered.get(engine.id());
        return stage == null || pacing.isDue(engine.id()) ? engine : engine.withStage(stage);
    }

    private void order(DutyHolder holder, ReplicaEntry engine, EngineStage stage) throws InterruptedException {
        pacing.block(engine.id(), REPEAT_DELAY);
        String outcome;
        try {
            boolean accepted = ordering.order(holder, engine, stage);
            outcome = accepted ? "accepted" : "refused";
            if (accepted) {
                ordered.put(engine.id(), stage);
            }
        } catch (PlatformException failure) {
            outcome = failure.getMessage();
        }
        LOG.info(
                "stage_ordered",
                EventField.of("upstream", engine.id()),
                EventField.of("zone", engine.zone()),
                EventField.of("stage", stage),
                EventField.of("fencing", holder.fencing()),
                EventField.of("outcome", outcome));
    }
}
