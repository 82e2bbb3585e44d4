package io.banyantally.internal.exchange;

import java.util.OptionalLong;

/** The other VMs, as far as this VM knows them. */
public interface PeerSource {

    /** Returns the number of the other VMs; empty until they have been listed. */
    OptionalLong count();

    /** Connects to the VMs that are listed. */
    void connect();
}
