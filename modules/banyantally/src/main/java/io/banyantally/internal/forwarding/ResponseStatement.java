package io.banyantally.internal.forwarding;

import io.banyantally.deployment.ResponseMetadata;
import java.util.Optional;

/**
 * What the head of an upstream's response states about the run of its request. All senders decide by this type whether a
 * request has run.
 */
sealed interface ResponseStatement {

    /** The response is the upstream's own and may be passed on, once it is complete. */
    record Ran() implements ResponseStatement {}

    /** The request has certainly not run. */
    record NotRun(String reason) implements ResponseStatement {}

    /** The request may have run, and the response may not be passed on. */
    record MayHaveRun(String reason) implements ResponseStatement {}

    /**
     * Returns in one word why a response does not belong to an attempt; empty if it does. On a connection that was kept,
     * the late copy of another response may precede the one that belongs to the request.
     *
     * @param answered the attempt that the response names
     * @param mayBeUnnamed whether a response that names no attempt is taken
     */
    static Optional<String> mismatch(Optional<String> answered, String attempt, boolean mayBeUnnamed) {
        if (answered.isEmpty()) {
            return mayBeUnnamed ? Optional.empty() : Optional.of("unnamed_answer");
        }
        return answered.get().equals(attempt) ? Optional.empty() : Optional.of("crossed_answer");
    }

    /** Reads the head of a response that belongs to the request. */
    static ResponseStatement of(int status, ResponseMetadata response) {
        boolean success = status >= 200 && status <= 299;
        if (response.instanceMismatch()) {
            return new NotRun("other_instance");
        }
        if (response.notExecuted()) {
            return success ? new MayHaveRun("contradictory_answer") : new NotRun("upstream_" + status);
        }
        if (success && !response.signed()) {
            return new MayHaveRun("unsigned_answer");
        }
        if (success && response.attempt().isEmpty()) {
            // Upstreams echo the attempt; without it these may be late bytes of another response.
            return new MayHaveRun("unnamed_answer");
        }
        return isTakenAsNotRun(status) ? new MayHaveRun("upstream_" + status) : new Ran();
    }

    /** Returns whether callers take a status for a promise that the request has not run, which upstreams do not give. */
    private static boolean isTakenAsNotRun(int status) {
        return status == Refusal.REQUEST_TIMEOUT
                || status == Refusal.MISDIRECTED
                || status == Refusal.TOO_MANY_REQUESTS
                || status == Refusal.UNAVAILABLE;
    }
}
