package io.banyantally.internal.peer;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Another entry VM, as it introduced itself. */
public record Peer(VmId vm, Incarnation incarnation, AvailabilityZone zone) {}
