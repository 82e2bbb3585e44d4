package io.banyantally.internal.timeline;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Identifies an event over all processes; the sequence rises by one within an incarnation. */
public record EventId(VmId vm, Incarnation incarnation, long sequence) {

    @Override
    public String toString() {
        return vm + "/" + incarnation + "/" + sequence;
    }
}
