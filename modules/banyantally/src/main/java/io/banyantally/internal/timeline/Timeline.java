package io.banyantally.internal.timeline;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Keeps the recent events of this process; the oldest are dropped when the capacity is reached. */
public final class Timeline {

    /** Enough for some minutes of a busy VM within a few megabytes. */
    public static final int DEFAULT_CAPACITY = 10_000;

    private final VmId vm;
    private final Incarnation incarnation;
    private final int capacity;
    private final Consumer<Event> listener;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastSequence;

    /** Creates an empty time line; {@code listener} is called with each event, for example to log it. */
    public Timeline(VmId vm, Incarnation incarnation, int capacity, Consumer<Event> listener) {
        if (capacity < 1) {
            throw new IllegalArgumentException("time line capacity " + capacity + " is too small; use 1 or more");
        }
        this.vm = vm;
        this.incarnation = incarnation;
        this.capacity = capacity;
        this.listener = listener;
    }

    /** Records an event without a known cause. */
    public EventId record(EventKind kind, EventField... fields) {
        return append(kind, Optional.empty(), fields);
    }

    /** Records an event that another event caused. */
    public EventId recordCausedBy(EventId cause, EventKind kind, EventField... fields) {
        return append(kind, Optional.of(cause), fields);
    }

    private EventId append(EventKind kind, Optional<EventId> cause, EventField... fields) {
        Event event;
        synchronized (events) {
            EventId id = new EventId(vm, incarnation, ++lastSequence);
            event = new Event(id, kind, System.currentTimeMillis(), cause, List.of(fields));
            if (events.size() == capacity) {
                events.removeFirst();
            }
            events.addLast(event);
        }
        listener.accept(event);
        return event.id();
    }

    /** Returns the events that are still kept, oldest first. */
    public List<Event> recent() {
        synchronized (events) {
            return List.copyOf(events);
        }
    }
}
