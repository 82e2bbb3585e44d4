package io.banyantally.internal.idempotency;

/** The last known state of a claimed call. */
enum CallState {
    /** The claim was written; the call may have been sent. */
    CLAIMED,
    /** The call ran and its complete answer was received. Final. */
    RAN,
    /** The call did not run and its claimer will not send it. The identity may be claimed again. */
    NOT_RUN,
    /** The call was sent and its answer is not known. Final. */
    UNKNOWN
}
