package io.banyantally.platform;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.upstream.SendPermission;

/**
 * Who carries out a duty of which there is one holder at a time.
 *
 * @param fencing rises with every change of the holder
 * @param permission whether the holder may still act; asked again right before each send
 */
public record DutyHolder(VmId vm, FencingNumber fencing, SendPermission permission) {}
