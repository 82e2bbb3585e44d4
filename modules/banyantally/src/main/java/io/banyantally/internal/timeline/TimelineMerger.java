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
 * Merges the events of several processes into one order: events of a process keep their sequence, an event never
 * precedes its cause, and otherwise events are ordered by the processes' wall clocks, which may differ a little.
 */
public final class TimelineMerger {

    private static final Comparator<Event> BY_WALL_CLOCK = Comparator.comparingLong(Event::wallClockMillis)
            .thenComparing(event -> event.id().toString());

    private TimelineMerger() {}

    /** Returns all events in one order; an event that was gathered twice is kept once. */
    public static List<Event> merge(Collection<Event> events) {
        Map<ProcessId, Deque<Event>> queues = queues(events);
        Set<EventId> unmerged = new HashSet<>();
        queues.values().forEach(queue -> queue.forEach(event -> unmerged.add(event.id())));
        List<Event> merged = new ArrayList<>(unmerged.size());
        while (!unmerged.isEmpty()) {
            Event next = next(queues.values(), unmerged);
            queues.get(ProcessId.of(next)).removeFirst();
            unmerged.remove(next.id());
            merged.add(next);
        }
        return merged;
    }

    private static Map<ProcessId, Deque<Event>> queues(Collection<Event> events) {
        Map<ProcessId, TreeMap<Long, Event>> sorted = new HashMap<>();
        for (Event event : events) {
            sorted.computeIfAbsent(ProcessId.of(event), process -> new TreeMap<>())
                    .put(event.id().sequence(), event);
        }
        Map<ProcessId, Deque<Event>> queues = new HashMap<>();
        sorted.forEach((process, bySequence) -> queues.put(process, new ArrayDeque<>(bySequence.values())));
        return queues;
    }

    /**
     * Returns the earliest head whose cause is merged already; if causes form a cycle, which is not expected, the
     * earliest head.
     */
    private static Event next(Collection<Deque<Event>> queues, Set<EventId> unmerged) {
        List<Event> heads = queues.stream()
                .filter(queue -> !queue.isEmpty())
                .map(Deque::getFirst)
                .sorted(BY_WALL_CLOCK)
                .toList();
        return heads.stream()
                .filter(event ->
                        event.cause().map(cause -> !unmerged.contains(cause)).orElse(true))
                .findFirst()
                .orElse(heads.getFirst());
    }

    private record ProcessId(VmId vm, Incarnation incarnation) {

        static ProcessId of(Event event) {
            return new ProcessId(event.id().vm(), event.id().incarnation());
        }
    }
}
