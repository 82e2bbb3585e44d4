package io.banyantally.internal.timeline;

import io.banyantally.internal.peer.MessagePackCodec;
import java.util.List;

/** The recent events of one process, or of several. */
public record EventList(List<EventMessage> events) {

    static final MessagePackCodec<EventList> CODEC = MessagePackCodec.of(EventList.class);

    /** Copies the list. */
    public EventList {
        events = List.copyOf(events);
    }

    /** Converts events to their messages. */
    public static EventList of(List<Event> events) {
        return new EventList(events.stream().map(EventMessage::of).toList());
    }

    /** Converts the messages back; an unknown kind is an {@link IllegalArgumentException}. */
    public List<Event> toEvents() {
        return events.stream().map(EventMessage::toEvent).toList();
    }
}
