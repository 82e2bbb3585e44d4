package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.Engine;
import java.util.Optional;

/** Gives access to the engines by id. */
@FunctionalInterface
public interface EngineSource {

    /** Returns the engine; empty if no such upstream is known. */
    Optional<Engine> engine(UpstreamId id);
}
