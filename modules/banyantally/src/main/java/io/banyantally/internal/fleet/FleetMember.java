package io.banyantally.internal.fleet;

import io.banyantally.upstream.EngineTarget;
import java.util.Optional;

/**
 * An upstream and the state that its engine reports.
 *
 * @param state what the engine has loaded; empty for a plain service or an engine that did not respond
 */
public record FleetMember(FleetUpstream upstream, Optional<EngineTarget> state) {}
