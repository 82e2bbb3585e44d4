package io.banyantally.internal.forwarding;

import io.banyantally.deployment.PrefilledCache;

/** The outcome of asking a prefill engine to compute the KV cache of a prompt. The request has not run in any case. */
sealed interface PrefillOutcome {

    PrefillOutcome NOT_SENT = new NotSent();

    PrefillOutcome FAILED = new Failed();

    /** The engine holds the KV cache. */
    record Cached(PrefilledCache cache) implements PrefillOutcome {}

    /** No engine has received the request. */
    record NotSent() implements PrefillOutcome {}

    /** An engine received the request and there is no KV cache, so the next send counts as a retry. */
    record Failed() implements PrefillOutcome {}
}
