package io.banyantally.internal.settings;

import io.banyantally.model.VmId;
import java.net.InetSocketAddress;

/** An entry VM to connect to before the platform's list of VMs is known. */
public record PeerSeed(VmId vm, InetSocketAddress address) {

    static PeerSeed read(JsonFields fields) {
        return new PeerSeed(fields.text("vm", "a VM id", new VmId("none"), VmId::new), fields.address("address"));
    }
}
