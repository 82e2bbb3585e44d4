package io.banyantally.internal.forwarding;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Collects the decisions on one request and logs them as one line at its end. */
final class RequestLog {

    private static final EventLog LOG = EventLog.of(RequestLog.class);

    private final List<EventField> fields = new ArrayList<>();
    private final MonotonicClock clock;
    private final long arrivedAt;
    private long firstByteAt;

    RequestLog(MonotonicClock clock) {
        this.clock = clock;
        this.arrivedAt = clock.nanoTime();
    }

    /** Returns when the request arrived, in monotonic nanoseconds. */
    long arrivedAt() {
        return arrivedAt;
    }

    void add(String name, Object value) {
        fields.add(EventField.of(name, value));
    }

    /** Adds why an upstream was chosen, with the inputs of the decision and their age. */
    void addPlacement(String name, Placement.Decision.Send choice) {
        Candidate chosen = choice.candidate();
        String loadAge =
                chosen.load().isEmpty() ? "none" : Long.toString(TimeUnit.NANOSECONDS.toMillis(chosen.loadAgeNanos()));
        add(
                name,
                choice.reason()
                        + String.format(Locale.ROOT, ":wait_ms=%.1f:work_ms=%.1f", choice.waitMillis(), choice.work())
                        + ":own=" + chosen.outstanding() + ":load_age_ms=" + loadAge);
    }

    /** Adds the result of a call and its duration in milliseconds. */
    void addResult(String name, String result, long startedAt) {
        add(name, result + ":" + TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startedAt));
    }

    void responseStarted() {
        if (firstByteAt == 0) {
            firstByteAt = clock.nanoTime();
        }
    }

    void write(MetricRegistry metrics, String route, int status, String outcome) {
        long now = clock.nanoTime();
        long first = firstByteAt == 0 ? now : firstByteAt;
        add("status", status);
        add("outcome", outcome);
        add("first_ms", TimeUnit.NANOSECONDS.toMillis(first - arrivedAt));
        add("total_ms", TimeUnit.NANOSECONDS.toMillis(now - arrivedAt));
        LOG.info("request", fields.toArray(EventField[]::new));
        metrics.counter("requests." + outcome).inc();
        metrics.timer("requests." + route + ".first").update(first - arrivedAt, TimeUnit.NANOSECONDS);
        metrics.timer("requests." + route + ".total").update(now - arrivedAt, TimeUnit.NANOSECONDS);
    }
}
