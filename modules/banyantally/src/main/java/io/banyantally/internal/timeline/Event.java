package io.banyantally.internal.timeline;

import java.util.List;
import java.util.Optional;

/**
 * One event of a process.
 *
 * @param wallClockMillis the process's wall clock, for display only; events of two processes are not ordered by it alone
 * @param cause the event that led to this one, possibly of another process
 */
public record Event(
        EventId id, EventKind kind, long wallClockMillis, Optional<EventId> cause, List<EventField> fields) {

    /** Copies the fields. */
    public Event {
        fields = List.copyOf(fields);
    }
}
