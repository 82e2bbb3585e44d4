package io.banyantally.internal.timeline;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.List;
import java.util.Optional;

/** The serialized form of an event, sent between peers and to operators. */
public record EventMessage(
        String vm,
        String incarnation,
        long sequence,
        String kind,
        long wallClockMillis,
        Optional<String> causeVm,
        Optional<String> causeIncarnation,
        Optional<Long> causeSequence,
        List<EventField> fields) {

    /** Copies the fields. */
    public EventMessage {
        fields = List.copyOf(fields);
    }

    /** Converts an event to its message. */
    public static EventMessage of(Event event) {
        return new EventMessage(
                event.id().vm().value(),
                event.id().incarnation().toString(),
                event.id().sequence(),
                event.kind().name(),
                event.wallClockMillis(),
                event.cause().map(cause -> cause.vm().value()),
                event.cause().map(cause -> cause.incarnation().toString()),
                event.cause().map(EventId::sequence),
                event.fields());
    }

    /** Converts the message back; an unknown kind is an {@link IllegalArgumentException}. */
    public Event toEvent() {
        return new Event(
                id(vm, incarnation, sequence),
                EventKind.valueOf(kind),
                wallClockMillis,
                causeVm.map(cause -> id(cause, causeIncarnation.orElseThrow(), causeSequence.orElseThrow())),
                fields);
    }

    private static EventId id(String vm, String incarnation, long sequence) {
        return new EventId(new VmId(vm), Incarnation.parse(incarnation), sequence);
    }
}
