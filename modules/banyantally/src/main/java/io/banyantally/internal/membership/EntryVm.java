package io.banyantally.internal.membership;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;

/** An entry VM and its availability zone, as the platform's list names it. */
public record EntryVm(VmId vm, AvailabilityZone zone) {}
