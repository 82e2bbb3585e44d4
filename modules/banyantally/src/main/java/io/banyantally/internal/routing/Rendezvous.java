package io.banyantally.internal.routing;

import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Rendezvous hashing: each VM computes the same order of names for an upstream without asking anyone. */
public final class Rendezvous {
    private Rendezvous() {}

    static long weight(VmId vm, UpstreamId upstream) {
        return weight(vm.value(), upstream);
    }

    /** Returns the weight of a name at an upstream; the highest weight comes first. */
    public static long weight(String name, UpstreamId upstream) {
        CRC32C checksum = new CRC32C();
        checksum.update((name + "/" + upstream.value()).getBytes(StandardCharsets.UTF_8));
        // A checksum is linear, so names that differ in one place would give related orders without the mixing.
        long mixed = checksum.getValue() * 0x9E3779B97F4A7C15L;
        return (mixed ^ (mixed >>> 29)) >>> 1;
    }
}
