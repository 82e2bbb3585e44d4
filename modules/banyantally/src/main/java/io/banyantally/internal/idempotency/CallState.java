package io.banyantally.internal.idempotency;

/** How far a claimed call is known to have come. */
enum CallState {
    /** The claim was written; the call may have been sent. */
    CLAIMED,
    /** The call ran and its whole answer is known. */
    RAN,
    /** The call certainly did not run and its claimer will not send it. The identity may be claimed again. */
    NOT_RUN,
    /** The call was sent and its answer is not known. Final. */
    UNKNOWN
}
