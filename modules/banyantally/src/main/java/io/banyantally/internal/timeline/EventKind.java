package io.banyantally.internal.timeline;

/** What an event of the time line is about. */
public enum EventKind {
    /** A process began. */
    VM_STARTED,
    /** A VM began its graceful shutdown. */
    VM_DRAINING,
    /** A VM finished its graceful shutdown. */
    VM_STOPPED,
    /** The process was not scheduled for a while. */
    PAUSE_DETECTED,
    /** A peer answered for the first time or again. */
    PEER_JOINED,
    /** A peer stopped answering. */
    PEER_LOST,
    /** A configuration came into force on this VM. */
    CONFIGURATION_APPLIED,
    /** An operator's change was written. */
    CONFIGURATION_CHANGED,
    /** An operator gave a key. */
    KEY_GIVEN,
    /** An operator withdrew a key. */
    KEY_WITHDRAWN,
    /** The VM stopped serving keyed requests for want of a fresh proof. */
    PROOF_LOST,
    /** The VM serves keyed requests again. */
    PROOF_REGAINED,
    /** This VM became the owner of a scope. */
    SCOPE_ACQUIRED,
    /** This VM stopped being the owner of a scope. */
    SCOPE_LOST,
    /** An order was written to the scope record. */
    ORDER_INTENDED,
    /** An order was sent. */
    ORDER_SENT,
    /** The receiver of an order shows its effect. */
    ORDER_CONFIRMED,
    /** An order was refused or its outcome is unknown. */
    ORDER_FAILED,
    /** An engine's role was changed. */
    ROLE_CHANGED,
    /** An upstream became available for work. */
    UPSTREAM_JOINED,
    /** An upstream gets no new work from now on. */
    UPSTREAM_LEAVING,
    /** An upstream was taken out of routing for failures. */
    UPSTREAM_EJECTED,
    /** An ejected upstream is tried again. */
    UPSTREAM_RETURNED,
    /** A request was refused. */
    REQUEST_REFUSED,
    /** A prefill engine or the copy of its KV cache failed; the decoding engine computes the prompt itself. */
    PREFILL_FAILED,
    /** A request went on at another upstream. */
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
    /** An action that would have broken a promise was stopped. */
    INVARIANT_VIOLATED
}
