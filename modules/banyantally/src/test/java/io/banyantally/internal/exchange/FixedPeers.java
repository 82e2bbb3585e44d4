package io.banyantally.internal.exchange;

import java.util.OptionalLong;

/** A number of peers, to which a fake network is always connected. */
record FixedPeers(OptionalLong count) implements PeerSource {

    FixedPeers(long count) {
        this(OptionalLong.of(count));
    }

    @Override
    public void connect() {}
}
