package io.banyantally.internal.timeline;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against time lines in which an effect precedes its cause because two wall clocks differ. */
final class TimelineMergerTest {

    private static final EventId CAUSE = id("a", 1);

    @Test
    void placesCauseBeforeEffectOfVmWhoseClockIsBehind() {
        Event cause = event(CAUSE, 1_000, Optional.empty());
        Event effect = event(id("b", 1), 500, Optional.of(CAUSE));
        assertEquals(List.of(cause, effect), TimelineMerger.merge(List.of(effect, cause)));
    }

    @Test
    void keepsSequenceOfVmWhoseClockWasSetBack() {
        Event first = event(id("a", 1), 1_000, Optional.empty());
        Event second = event(id("a", 2), 400, Optional.empty());
        assertEquals(List.of(first, second), TimelineMerger.merge(List.of(second, first)));
    }

    @Test
    void mergesEventThatWasGatheredTwiceOnce() {
        Event only = event(CAUSE, 1_000, Optional.empty());
        assertEquals(List.of(only), TimelineMerger.merge(List.of(only, only)));
    }

    @Test
    void placesEventWhoseCauseWasDropped() {
        Event effect = event(id("b", 1), 500, Optional.of(CAUSE));
        assertEquals(List.of(effect), TimelineMerger.merge(List.of(effect)));
    }

    private static EventId id(String vm, long sequence) {
        return new EventId(new VmId(vm), new Incarnation(7), sequence);
    }

    private static Event event(EventId id, long wallClockMillis, Optional<EventId> cause) {
        return new Event(id, EventKind.SCOPE_ACQUIRED, wallClockMillis, cause, List.of());
    }
}
