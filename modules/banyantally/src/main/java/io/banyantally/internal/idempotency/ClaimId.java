package io.banyantally.internal.idempotency;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Identifies a claim over all VMs, so that a claimer recognises its own write after the store's answer was lost. */
record ClaimId(VmId vm, Incarnation incarnation, long attempt) {

    static ClaimId of(CallRecord stored) {
        return new ClaimId(new VmId(stored.vm()), new Incarnation(stored.incarnation()), stored.attempt());
    }
}
