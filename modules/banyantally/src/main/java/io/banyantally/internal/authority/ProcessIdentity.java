package io.banyantally.internal.authority;

import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Identifies the writer of leases and scope records: a VM and the incarnation of its process. */
public record ProcessIdentity(VmId vm, Incarnation incarnation) {}
