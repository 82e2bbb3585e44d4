package io.banyantally.internal.idempotency;

/** Runs calls that may not be repeated, at most once for each identity over all entry VMs. */
public interface CallLedger {

    /**
     * Claims the identity, sends the call and stores its outcome; or returns what is known of an earlier call.
     *
     * @param requestHash the hash of method, path and body, so that a reused identity is noticed
     */
    CallOutcome run(CallIdentity identity, String requestHash, CallSender sender) throws InterruptedException;

    /** Returns what is known of a call. */
    CallOutcome find(CallIdentity identity) throws InterruptedException;
}
