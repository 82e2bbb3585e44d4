package io.banyantally.internal.duty;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.StageOrdering;
import java.time.Duration;

/**
 * Orders engines to decode.
 *
 * <p>Answers the load of prompts that are mostly shared, with short outputs: an engine that decodes reads the part of a
 * prompt that it does not have cached in less time than a transfer from a prefill engine and its second queue take, and
 * all engines can then serve either side of a swing without a role change.
 */
public final class StageKeeper {

    /** Rounds of the keeper. */
    public static final Duration INTERVAL = Duration.ofSeconds(1);

    /** An order may be carried out up to this time after it was sent; it is not repeated before. */
    static final Duration REPEAT_DELAY = Duration.ofSeconds(14);

    private static final EventLog LOG = EventLog.of(StageKeeper.class);

    private final ReplicaRegistry replicas;
    private final StageOrdering ordering;
    private final OrderPacing<UpstreamId> pacing;

    /** Creates a keeper that has ordered nothing. */
    public StageKeeper(ReplicaRegistry replicas, StageOrdering ordering, MonotonicClock clock) {
        this.replicas = replicas;
        this.ordering = ordering;
        this.pacing = new OrderPacing<>(clock);
    }

    /** Orders every engine that does not decode to do so. */
    public void run(DutyHolder holder, ActiveConfiguration configuration) throws InterruptedException {
        for (ServiceRule service : configuration.document().services()) {
            for (ReplicaEntry engine : replicas.accepting(service.name())) {
                if (engine.stage() == EngineStage.PREFILL
                        && pacing.isDue(engine.id())
                        && holder.permission().isGranted()) {
                    order(holder, engine);
                }
            }
        }
    }

    private void order(DutyHolder holder, ReplicaEntry engine) throws InterruptedException {
        pacing.block(engine.id(), REPEAT_DELAY);
        String outcome;
        try {
            outcome = ordering.order(holder, engine, EngineStage.DECODE) ? "accepted" : "refused";
        } catch (PlatformException failure) {
            outcome = failure.getMessage();
        }
        LOG.info(
                "stage_ordered",
                EventField.of("upstream", engine.id()),
                EventField.of("stage", EngineStage.DECODE),
                EventField.of("fencing", holder.fencing()),
                EventField.of("outcome", outcome));
    }
}
