package io.banyantally.internal.routing;

import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Rendezvous hashing: all VMs compute the same order of names for an upstream without communication. */
public final class Rendezvous {
    private Rendezvous() {}

    static long weight(VmId vm, UpstreamId upstream) {
        return weight(vm.value(), upstream);
    }

    /** Returns the weight of a name for an upstream; the highest weight ranks first. */
    public static long weight(String name, UpstreamId upstream) {
        return weight(name, upstream.value());
    }

    /** Returns the weight of a name for a VM; the highest weight ranks first. */
    public static long weight(String name, VmId vm) {
        return weight(name, vm.value());
    }

    private static long weight(String name, String candidate) {
        CRC32C checksum = new CRC32C();
        checksum.update((name + "/" + candidate).getBytes(StandardCharsets.UTF_8));
        // The checksum is linear; without the mixing, names that differ in one place would get related orders.
        long mixed = checksum.getValue() * 0x9E3779B97F4A7C15L;
        return (mixed ^ (mixed >>> 29)) >>> 1;
    }
}
