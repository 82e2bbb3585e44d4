package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;

/** Sends a call once. */
@FunctionalInterface
public interface CallSender {

    /** Sends the call and returns the whole answer. */
    ServiceAnswer send() throws UpstreamException, InterruptedException;
}
