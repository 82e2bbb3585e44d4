package io.banyantally.internal.peer;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;

/** Handshake message that identifies the sender at the start of a connection. */
record HelloMessage(String vm, long incarnation, String zone, String site) {

    static final MessagePackCodec<HelloMessage> CODEC = MessagePackCodec.of(HelloMessage.class);

    static HelloMessage of(Peer self, String site) {
        return new HelloMessage(
                self.vm().value(), self.incarnation().value(), self.zone().value(), site);
    }

    Peer toPeer() throws PeerException {
        try {
            return new Peer(new VmId(vm), new Incarnation(incarnation), new AvailabilityZone(zone));
        } catch (IllegalArgumentException malformed) {
            throw new PeerException("hello message has an invalid VM, incarnation or zone", malformed);
        }
    }
}
