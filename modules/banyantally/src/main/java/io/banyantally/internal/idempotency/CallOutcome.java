package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import java.time.Duration;

/** The outcome of a non-idempotent call, as far as it is known. */
public sealed interface CallOutcome {

    /** The call ran and returned {@code answer}. {@code bodyKept} is false if the body was too large to be stored. */
    record Ran(ServiceAnswer answer, boolean bodyKept) implements CallOutcome {}

    /** The call is known not to have run; it may be sent again. */
    record NotRun(String reason, Duration retryAfter) implements CallOutcome {}

    /** The call may have run. It will not be sent again. */
    record Unknown(String reason) implements CallOutcome {}

    /** Another request with the same identity is in progress. */
    record InProgress(Duration retryAfter) implements CallOutcome {}

    /** The identity was used for a different request before; nothing was sent. */
    record IdentityReused() implements CallOutcome {}

    /** There is no record of a call with this identity. */
    record NotFound() implements CallOutcome {}
}
