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

/** Gathers what was decided on one request, and writes it as one line at the end. */
final class RequestLog {

    private static final EventLog LOG = EventLog.of(RequestLog.class);

    private final List<EventField> fields = new ArrayList<>();
    private final MonotonicClock clock;
    private final long arrived;
    private long firstByte;

    RequestLog(MonotonicClock clock) {
        this.clock = clock;
        this.arrived = clock.nanoTime();
    }

    /** Returns when the request arrived. */
    long arrived() {
        return arrived;
    }

    void add(String name, Object value) {
        fields.add(EventField.of(name, value));
    }

    /** Adds why an upstream was chosen, and the inputs of the decision with their age. */
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

    /** Adds the result of a call and how long it took. */
    void addResult(String name, String result, long began) {
        add(name, result + ":" + TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - began));
    }

    void answerBegan() {
        if (firstByte == 0) {
            firstByte = clock.nanoTime();
        }
    }

    void write(MetricRegistry metrics, String route, int status, String outcome) {
        long now = clock.nanoTime();
        long first = firstByte == 0 ? now : firstByte;
        add("status", status);
        add("outcome", outcome);
        add("first_ms", TimeUnit.NANOSECONDS.toMillis(first - arrived));
        add("total_ms", TimeUnit.NANOSECONDS.toMillis(now - arrived));
        LOG.info("request", fields.toArray(EventField[]::new));
        metrics.counter("requests." + outcome).inc();
        metrics.timer("requests." + route + ".first").update(first - arrived, TimeUnit.NANOSECONDS);
        metrics.timer("requests." + route + ".total").update(now - arrived, TimeUnit.NANOSECONDS);
    }
}
