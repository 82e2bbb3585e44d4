package io.banyantally.internal.orders;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.Engine;
import java.util.Optional;

/** Looks up engines by upstream id. */
@FunctionalInterface
public interface EngineSource {

    /** Returns the engine; empty if no such upstream is known. */
    Optional<Engine> engine(UpstreamId id);
}
