package io.banyantally.internal.authority;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Names the writer of leases and scope records: one life of one VM. */
public record ProcessIdentity(VmId vm, Incarnation incarnation) {}
