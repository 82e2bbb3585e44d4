package io.banyantally.internal.idempotency;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import java.time.Duration;
import java.util.Optional;

/** Asks claimers what became of their claims, and answers such questions about the claims of this process. */
final class ClaimStatus {

    static final Topic TOPIC = new Topic("idempotency.status");

    /** A claimer that does not answer within this time counts as gone; the asker then learns "unknown". */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final MessagePackCodec<StatusQuestion> QUESTIONS = MessagePackCodec.of(StatusQuestion.class);
    private static final MessagePackCodec<StatusAnswer> ANSWERS = MessagePackCodec.of(StatusAnswer.class);

    private final PeerNetwork peers;
    private final Peer self;
    private final ClaimTable claims;

    ClaimStatus(PeerNetwork peers, Peer self, ClaimTable claims) {
        this.peers = peers;
        this.self = self;
        this.claims = claims;
        peers.handle(TOPIC, (sender, payload) -> ANSWERS.encode(answer(QUESTIONS.decode(payload))));
    }

    private StatusAnswer answer(StatusQuestion question) {
        if (question.incarnation() != self.incarnation().value()) {
            return new StatusAnswer(Optional.empty());
        }
        return new StatusAnswer(claims.find(question.attempt()).map(ActiveClaim::latest));
    }

    /**
     * Returns the latest record of a claim as its claimer knows it; empty if the claimer is gone or remembers nothing. The
     * record is {@link CallState#NOT_RUN} only if the claimer never sent the call and never will, or knows that the
     * upstream did not run it.
     */
    Optional<CallRecord> ask(ClaimId claim) {
        StatusQuestion question = new StatusQuestion(claim.incarnation().value(), claim.attempt());
        if (claim.vm().equals(self.vm())) {
            return answer(question).known();
        }
        try {
            return ANSWERS.decode(peers.request(claim.vm(), TOPIC, QUESTIONS.encode(question), TIMEOUT))
                    .known();
        } catch (PeerException gone) {
            return Optional.empty();
        }
    }
}
