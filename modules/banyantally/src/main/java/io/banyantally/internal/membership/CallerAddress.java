package io.banyantally.internal.membership;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;

/** An address that callers may use. */
public record CallerAddress(VmId vm, AvailabilityZone zone, InetSocketAddress address) {}
