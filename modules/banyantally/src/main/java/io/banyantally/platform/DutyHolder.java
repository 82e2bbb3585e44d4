package io.banyantally.platform;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.upstream.SendPermission;

/**
 * The VM that holds the duty lease; only the holder executes the duties, such as ordering upstreams.
 *
 * @param fencing the fencing number; it increases with each change of the holder
 * @param permission whether the VM is still the holder; checked immediately before each send
 */
public record DutyHolder(VmId vm, FencingNumber fencing, SendPermission permission) {}
