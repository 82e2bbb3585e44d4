package io.banyantally.internal.membership;

import io.banyantally.internal.peer.MessagePackCodec;

/** Answer to a heartbeat: the address for callers, and whether the VM is draining. */
record HeartbeatMessage(String callersHost, int callersPort, boolean draining) {

    static final MessagePackCodec<HeartbeatMessage> CODEC = MessagePackCodec.of(HeartbeatMessage.class);
}
