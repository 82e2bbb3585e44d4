package io.banyantally.internal.placement;

import io.banyantally.deployment.PromptMetadata;
import java.time.Duration;
import java.util.Optional;

/** Chooses the upstream of a request, or decides that none can serve it in time. */
@FunctionalInterface
public interface Placement {

    /** Decides on a request; {@code upstreams} are those to which it may be sent. */
    Decision decide(Demand demand, CandidateSource upstreams);

    /**
     * The inputs of a placement decision that come from the request.
     *
     * @param latencyTarget the time within which the answer should begin
     */
    record Demand(Optional<PromptMetadata> prompt, Duration latencyTarget) {}

    /** The result of a placement decision. */
    sealed interface Decision {

        /**
         * Send the request.
         *
         * @param waitMillis the expected time until the upstream starts the request, in milliseconds
         * @param work the time that the request keeps the upstream busy, in milliseconds
         * @param reason the rule by which the upstream was chosen, as logged
         */
        record Send(Candidate candidate, double waitMillis, double work, String reason) implements Decision {}

        /**
         * Refuse the request, since it would wait too long at every upstream.
         *
         * @param waitMillis the shortest expected wait, in milliseconds
         * @param retryAfter the delay after which an upstream should be able to serve the request in time
         */
        record Refuse(double waitMillis, Duration retryAfter) implements Decision {}

        /** There is no upstream to choose from. */
        record NoUpstream() implements Decision {}
    }
}
