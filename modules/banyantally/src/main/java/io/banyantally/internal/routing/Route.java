package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.Optional;

/** A request's way to one upstream. What happens on it is told here, for later choices. */
public interface Route extends AutoCloseable {

    /** Returns the chosen upstream. */
    KnownUpstream upstream();

    /** Returns the upstream that computes the prompt first, where splitting beats computing it where it is decoded. */
    default Optional<PrefillStage> prefill() {
        return Optional.empty();
    }

    /** Tells that the prefill stage and the copy are over, and how long the copy alone took. */
    default void prefillDone(Duration copy) {}

    /** Tells that an output token has come. */
    void tokenReceived();

    /** Tells that the upstream failed the request. */
    void failed();

    @Override
    void close();
}
