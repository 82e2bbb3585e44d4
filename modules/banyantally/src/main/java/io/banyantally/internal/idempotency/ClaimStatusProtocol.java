package io.banyantally.internal.idempotency;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import java.time.Duration;
import java.util.Optional;

/** Queries other VMs for the state of their claims, and answers such queries about the claims of this process. */
final class ClaimStatusProtocol {

    static final Topic TOPIC = new Topic("idempotency.status");

    /** A claimer that does not answer within this time counts as unreachable, and the outcome as unknown. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final MessagePackCodec<StatusQuery> QUERY_CODEC = MessagePackCodec.of(StatusQuery.class);
    private static final MessagePackCodec<StatusAnswer> ANSWER_CODEC = MessagePackCodec.of(StatusAnswer.class);

    private final PeerNetwork peers;
    private final Peer self;
    private final ClaimTable claims;

    ClaimStatusProtocol(PeerNetwork peers, Peer self, ClaimTable claims) {
        this.peers = peers;
        this.self = self;
        this.claims = claims;
        peers.handle(TOPIC, (sender, payload) -> ANSWER_CODEC.encode(answer(QUERY_CODEC.decode(payload))));
    }

    private StatusAnswer answer(StatusQuery query) {
        if (query.incarnation() != self.incarnation().value()) {
            return new StatusAnswer(Optional.empty());
        }
        return new StatusAnswer(claims.find(query.attempt()).map(ActiveClaim::latest));
    }

    /**
     * Returns the latest record of a claim as its claimer has it; empty if the claimer is unreachable, has restarted or
     * no longer has the claim. The state is {@link CallState#NOT_RUN} only if the claimer did not send the call and
     * never will, or if the upstream is known not to have run it.
     */
    Optional<CallRecord> query(ClaimId claim) {
        StatusQuery query = new StatusQuery(claim.incarnation().value(), claim.attempt());
        if (claim.vm().equals(self.vm())) {
            return answer(query).known();
        }
        try {
            return ANSWER_CODEC
                    .decode(peers.request(claim.vm(), TOPIC, QUERY_CODEC.encode(query), TIMEOUT))
                    .known();
        } catch (PeerException unreachable) {
            return Optional.empty();
        }
    }
}
