package io.banyantally.internal.idempotency;

/** Runs non-idempotent calls at most once per identity over all entry VMs, and keeps their outcomes. */
public interface CallLedger {

    /**
     * Claims the identity, sends the call and stores its outcome; or returns the outcome of an earlier call.
     *
     * @param requestHash the hash of method, path and body; detects an identity that is reused for another request
     */
    CallOutcome run(CallIdentity identity, String requestHash, CallSender sender) throws InterruptedException;

    /** Returns the known outcome of a call; {@link CallOutcome.NotFound} if there is no record of it. */
    CallOutcome find(CallIdentity identity) throws InterruptedException;
}
