package io.banyantally.internal.deployment;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;

/**
 * What a VM publishes of itself.
 *
 * @param callers where callers connect, as {@code address:port}
 * @param peers where other VMs connect, as {@code address:port}
 */
public record MemberEntry(VmId vm, AvailabilityZone zone, String callers, String peers) {}
