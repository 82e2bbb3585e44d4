package io.banyantally.internal.fleet;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;

/** A change of the role of an engine. */
public record RoleChange(UpstreamId upstream, EngineRole role) {}
