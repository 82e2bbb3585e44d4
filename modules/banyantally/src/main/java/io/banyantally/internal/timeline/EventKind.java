package io.banyantally.internal.timeline;

/** What an event of the time line is about. */
public enum EventKind {
    /** A process started. */
    VM_STARTED,
    /** A VM began its graceful shutdown. */
    VM_DRAINING,
    /** A VM finished its graceful shutdown. */
    VM_STOPPED,
    /** The process was not scheduled for longer than expected. */
    PAUSE_DETECTED,
    /** A peer answered for the first time, or again after it was lost. */
    PEER_JOINED,
    /** A peer stopped answering. */
    PEER_LOST,
    /** This VM started to use a configuration. */
    CONFIGURATION_APPLIED,
    /** An operator's change of the configuration was written to the store. */
    CONFIGURATION_CHANGED,
    /** An operator issued an API key. */
    KEY_GIVEN,
    /** An operator revoked an API key. */
    KEY_WITHDRAWN,
    /** The VM stopped serving requests with keys: it has no recent proof that its configuration is current. */
    PROOF_LOST,
    /** The VM serves requests with keys again. */
    PROOF_REGAINED,
    /** This VM became the owner of a scope. */
    SCOPE_ACQUIRED,
    /** This VM stopped being the owner of a scope. */
    SCOPE_LOST,
    /** An order was written to the scope record, before it is sent. */
    ORDER_INTENDED,
    /** An order was sent. */
    ORDER_SENT,
    /** The state that the receiver of an order reports shows that it took effect. */
    ORDER_CONFIRMED,
    /** An order was refused or its outcome is unknown. */
    ORDER_FAILED,
    /** An engine's role was changed. */
    ROLE_CHANGED,
    /** An upstream became available for work. */
    UPSTREAM_JOINED,
    /** An upstream gets no new work from now on. */
    UPSTREAM_LEAVING,
    /** An upstream was excluded from routing because of failures. */
    UPSTREAM_EJECTED,
    /** An ejected upstream is tried again. */
    UPSTREAM_RETURNED,
    /** A request was refused. */
    REQUEST_REFUSED,
    /** A prefill engine or the copy of its KV cache failed; the decoding engine computes the prompt itself. */
    PREFILL_FAILED,
    /** A request was continued at another upstream. */
    REQUEST_RESUMED,
    /** A request that had been accepted did not get its whole answer. */
    REQUEST_FAILED,
    /** A non-idempotent call was claimed. */
    CALL_CLAIMED,
    /** The outcome of a non-idempotent call is known. */
    CALL_FINISHED,
    /** The outcome of a non-idempotent call is unknown. */
    CALL_UNKNOWN,
    /** A usage window was sealed. */
    WINDOW_SEALED,
    /** A usage window was reported. */
    WINDOW_REPORTED,
    /** An action that would have broken a {@code Promise} was prevented. */
    INVARIANT_VIOLATED
}
