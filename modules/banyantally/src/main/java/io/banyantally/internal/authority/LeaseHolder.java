package io.banyantally.internal.authority;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** The value of {@code lease/<scope>}. Identifies its writer, so that a write whose response was lost is recognised. */
record LeaseHolder(VmId vm, Incarnation incarnation, long attempt) {

    private static final MessagePackCodec<LeaseHolder> CODEC = MessagePackCodec.of(LeaseHolder.class);

    byte[] encode() {
        return CODEC.encode(this);
    }
}
