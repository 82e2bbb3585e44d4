package io.banyantally.internal.timeline;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Identifies an event among those of all processes; the sequence increases by one within an incarnation. */
public record EventId(VmId vm, Incarnation incarnation, long sequence) {

    @Override
    public String toString() {
        return vm + "/" + incarnation + "/" + sequence;
    }
}
