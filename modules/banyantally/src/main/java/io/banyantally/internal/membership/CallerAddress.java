package io.banyantally.internal.membership;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;

/** The address at which callers reach a VM, with the VM's availability zone. */
public record CallerAddress(VmId vm, AvailabilityZone zone, InetSocketAddress address) {}
