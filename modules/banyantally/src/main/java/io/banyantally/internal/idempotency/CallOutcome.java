package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import java.time.Duration;

/** What is known of a call that may not be repeated. */
public sealed interface CallOutcome {

    /** The call ran; this is its answer. {@code bodyKept} is false if the body was too large to keep. */
    record Ran(ServiceAnswer answer, boolean bodyKept) implements CallOutcome {}

    /** The call certainly did not run; it may be sent again. */
    record NotRun(String reason, Duration retryAfter) implements CallOutcome {}

    /** The call may have run. It will not be sent again. */
    record Unknown(String reason) implements CallOutcome {}

    /** Another request with the same identity is being sent now. */
    record InProgress(Duration retryAfter) implements CallOutcome {}

    /** The same identity came with another request before; nothing was sent. */
    record IdentityReused() implements CallOutcome {}

    /** No call with this identity is known. */
    record NotFound() implements CallOutcome {}
}
