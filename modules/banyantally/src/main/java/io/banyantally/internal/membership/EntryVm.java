package io.banyantally.internal.membership;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;

/** An entry VM of the platform's list, with its availability zone. */
public record EntryVm(VmId vm, AvailabilityZone zone) {}
