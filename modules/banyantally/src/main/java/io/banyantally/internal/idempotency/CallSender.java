package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;

/** Sends a call to an upstream. */
@FunctionalInterface
public interface CallSender {

    /** Sends the call once and returns the complete answer. */
    ServiceAnswer send() throws UpstreamException, InterruptedException;
}
