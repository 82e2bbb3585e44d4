package io.banyantally.internal.fleet;

import io.banyantally.upstream.EngineTarget;
import java.util.Optional;

/**
 * An upstream with what its engine says of itself.
 *
 * @param state what the engine has loaded; empty for a plain service or an engine that did not answer
 */
public record FleetMember(FleetUpstream upstream, Optional<EngineTarget> state) {}
