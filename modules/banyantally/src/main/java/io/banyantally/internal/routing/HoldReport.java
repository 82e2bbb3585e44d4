package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/** The holds that a VM observes, with the work that it still has running at each held upstream. */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record HoldReport(String vm, String incarnation, List<HeldWork> held) {

    HoldReport {
        held = List.copyOf(held);
    }

    /** One hold that the VM observes; {@code running} never increases meanwhile, since the VM sends no new work. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record HeldWork(String scope, String upstream, long fencingNumber, long sequence, int running) {}
}
