package io.banyantally.internal.placement;

import io.banyantally.deployment.PromptFacts;
import java.util.List;
import java.util.Optional;

/** Chooses the upstream of a request. */
@FunctionalInterface
public interface Placement {

    /**
     * Chooses among candidates that have not been tried.
     *
     * @return the choice; empty if no candidate can take the request
     */
    Optional<Choice> choose(Optional<PromptFacts> prompt, List<Candidate> candidates);

    /**
     * A chosen upstream.
     *
     * @param costMillis what the request is expected to wait there before its answer begins
     * @param reason the input that decided
     */
    record Choice(Candidate candidate, double costMillis, String reason) {}
}
