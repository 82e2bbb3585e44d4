package io.banyantally.internal.invariant;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Checks promises immediately before an action. A violation is counted, recorded in the time line, and prevents the
 * action.
 */
public final class Invariants {

    private final Timeline timeline;
    private final Map<Promise, Counter> violations = new EnumMap<>(Promise.class);

    /** Creates the checks; violations are counted by the metrics {@code invariant.violations.<promise>}. */
    public Invariants(MetricRegistry metrics, Timeline timeline) {
        this.timeline = timeline;
        for (Promise promise : Promise.values()) {
            violations.put(promise, metrics.counter("invariant.violations." + promise));
        }
    }

    /**
     * Checks that an action keeps a promise.
     *
     * @throws InvariantViolationException if {@code holds} is false; the caller must not carry out the action
     */
    public void require(Promise promise, boolean holds, Supplier<String> detail) throws InvariantViolationException {
        if (holds) {
            return;
        }
        violations.get(promise).inc();
        timeline.record(
                EventKind.INVARIANT_VIOLATED, EventField.of("promise", promise), EventField.of("detail", detail.get()));
        throw new InvariantViolationException(promise, detail.get());
    }

    /** Returns how often an action was prevented because it would have broken the promise. */
    public long violations(Promise promise) {
        return violations.get(promise).getCount();
    }
}
