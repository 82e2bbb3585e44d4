package io.banyantally.internal.timeline;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Merges the events of several processes into one order: events of a process keep their sequence, an event never stands
 * before its cause, and apart from that the processes' wall clocks decide, which may differ a little.
 */
public final class TimelineMerger {

    private static final Comparator<Event> BY_WALL_CLOCK = Comparator.comparingLong(Event::wallClockMillis)
            .thenComparing(event -> event.id().toString());

    private TimelineMerger() {}

    /** Returns all events in one order; an event that was gathered twice is kept once. */
    public static List<Event> merge(Collection<Event> events) {
        Map<Source, Deque<Event>> queues = queues(events);
        Set<EventId> waiting = new HashSet<>();
        queues.values().forEach(queue -> queue.forEach(event -> waiting.add(event.id())));
        List<Event> merged = new ArrayList<>(waiting.size());
        while (!waiting.isEmpty()) {
            Event next = next(queues.values(), waiting);
            queues.get(Source.of(next)).removeFirst();
            waiting.remove(next.id());
            merged.add(next);
        }
        return merged;
    }

    private static Map<Source, Deque<Event>> queues(Collection<Event> events) {
        Map<Source, TreeMap<Long, Event>> sorted = new HashMap<>();
        for (Event event : events) {
            sorted.computeIfAbsent(Source.of(event), process -> new TreeMap<>())
                    .put(event.id().sequence(), event);
        }
        Map<Source, Deque<Event>> queues = new HashMap<>();
        sorted.forEach((process, bySequence) -> queues.put(process, new ArrayDeque<>(bySequence.values())));
        return queues;
    }

    /** Chooses the earliest head whose cause is placed; a cycle can't be, but a head is chosen even then. */
    private static Event next(Collection<Deque<Event>> queues, Set<EventId> waiting) {
        List<Event> heads = queues.stream()
                .filter(queue -> !queue.isEmpty())
                .map(Deque::getFirst)
                .sorted(BY_WALL_CLOCK)
                .toList();
        return heads.stream()
                .filter(event ->
                        event.cause().map(cause -> !waiting.contains(cause)).orElse(true))
                .findFirst()
                .orElse(heads.getFirst());
    }

    private record Source(VmId vm, Incarnation incarnation) {

        static Source of(Event event) {
            return new Source(event.id().vm(), event.id().incarnation());
        }
    }
}
