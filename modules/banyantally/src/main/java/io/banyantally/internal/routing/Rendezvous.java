package io.banyantally.internal.routing;

import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Rendezvous hashing: each VM computes the same order of VMs for an upstream without asking anyone. */
final class Rendezvous {
    private Rendezvous() {}

    static long weight(VmId vm, UpstreamId upstream) {
        CRC32C checksum = new CRC32C();
        checksum.update((vm.value() + "/" + upstream.value()).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear, so names that differ in one place would give related orders without the mixing.
        long mixed = checksum.getValue() * 0x9E3779B97F4A7C15L;
        return (mixed ^ (mixed >>> 29)) >>> 1;
    }
}
