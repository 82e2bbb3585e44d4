package io.banyantally.internal.deployment;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;

/**
 * The entry that a VM publishes in the store.
 *
 * @param callers where callers connect, as {@code address:port}
 * @param peers where other VMs connect, as {@code address:port}
 */
public record MemberEntry(VmId vm, AvailabilityZone zone, String callers, String peers) {}
