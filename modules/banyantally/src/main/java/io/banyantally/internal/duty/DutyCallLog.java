package io.banyantally.internal.duty;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.FencingNumber;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.PlatformException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Logs the calls of the duties, each with the term in which it was sent. Lines may be cut, so what tells two holders
 * apart comes first.
 */
final class DutyCallLog {

    private final EventLog log;
    private final MonotonicClock clock;

    DutyCallLog(EventLog log, MonotonicClock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Begins the line of a call that is sent now on the basis of information of an age. */
    Entry begin(String event, DutyHolder holder, Duration age, EventField... subject) {
        return new Entry(event, holder.fencing(), age, List.of(subject), clock.nanoTime());
    }

    /** The line of a call that has begun. */
    final class Entry {

        private final String event;
        private final FencingNumber fencing;
        private final Duration age;
        private final List<EventField> subject;
        private final long beganAt;

        private Entry(String event, FencingNumber fencing, Duration age, List<EventField> subject, long beganAt) {
            this.event = event;
            this.fencing = fencing;
            this.age = age;
            this.subject = subject;
            this.beganAt = beganAt;
        }

        /** Logs the outcome of a call that was answered. */
        void answered(String outcome, EventField... details) {
            log.info(event, fields(outcome, List.of(details)));
        }

        /** Logs a call that was not carried out, or that may have been or may still be. */
        void failed(PlatformException failure, EventField... details) {
            if (failure instanceof InterfaceOutcomeUnknownException) {
                warnFailed(event, failure, details);
            } else {
                log.info(event, failureFields(failure, details));
            }
        }

        /** Logs a call as {@link #failed} does, as a warning of another event. */
        void warnFailed(String failureEvent, PlatformException failure, EventField... details) {
            log.warn(failureEvent, failureFields(failure, details));
        }

        private EventField[] failureFields(PlatformException failure, EventField... details) {
            List<EventField> all = new ArrayList<>(List.of(details));
            all.add(EventField.of("reason", failure.getMessage()));
            return fields(failure instanceof InterfaceOutcomeUnknownException ? "unknown" : "not_done", all);
        }

        private EventField[] fields(String outcome, List<EventField> details) {
            List<EventField> all = new ArrayList<>(subject);
            all.add(EventField.of("fencing", fencing));
            all.add(EventField.of("era", TermNumbers.era(fencing)));
            all.add(EventField.of("outcome", outcome));
            all.add(EventField.of("took_ms", clock.since(beganAt).toMillis()));
            all.add(EventField.of("age_ms", age.toMillis()));
            all.addAll(details);
            return all.toArray(EventField[]::new);
        }
    }
}
