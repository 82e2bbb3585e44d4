package io.banyantally.internal.peer;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** The identity of an entry VM, as exchanged when two of them connect. */
public record Peer(VmId vm, Incarnation incarnation, AvailabilityZone zone) {}
