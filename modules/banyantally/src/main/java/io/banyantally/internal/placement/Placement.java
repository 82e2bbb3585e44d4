package io.banyantally.internal.placement;

import io.banyantally.deployment.PromptMetadata;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Chooses the upstream of a request, or decides that none can serve it in time. */
@FunctionalInterface
public interface Placement {

    /** Decides on a request; the candidates are those that have not been tried. */
    Decision decide(Demand demand, List<Candidate> candidates);

    /**
     * What a request asks for.
     *
     * @param latencyTarget the time within which its answer should begin
     */
    record Demand(Optional<PromptMetadata> prompt, Duration latencyTarget) {}

    /** What was decided. */
    sealed interface Decision {

        /**
         * Send the request.
         *
         * @param waitMillis the expected time until the upstream begins with it
         * @param work the time that it keeps the upstream busy, in milliseconds
         * @param reason the input that decided
         */
        record Send(Candidate candidate, double waitMillis, double work, String reason) implements Decision {}

        /**
         * Refuse the request, since it would wait too long everywhere.
         *
         * @param waitMillis the shortest expected wait
         * @param retryAfter when there should be room
         */
        record Refuse(double waitMillis, Duration retryAfter) implements Decision {}

        /** There is no upstream. */
        record NoUpstream() implements Decision {}
    }
}
