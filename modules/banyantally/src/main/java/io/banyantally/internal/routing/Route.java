package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * The route of a request to an upstream. The caller reports the progress of the request, which later choices are based
 * on.
 */
public interface Route extends AutoCloseable {

    /** Returns the chosen upstream. */
    KnownUpstream upstream();

    /** Returns the prefill stage, if a split is expected to be faster than prefill at the upstream that decodes. */
    default Optional<PrefillStage> prefill() {
        return Optional.empty();
    }

    /** Reports that the prefill stage and the cache transfer have ended, and how long the transfer alone took. */
    default void prefillDone(Duration transferTime) {}

    /** Reports that an output token was received. */
    void tokenReceived();

    /** Reports that the upstream failed the request, and closes the route. */
    void failed();

    @Override
    void close();
}
