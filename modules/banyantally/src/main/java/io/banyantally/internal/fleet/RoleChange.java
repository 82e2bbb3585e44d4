package io.banyantally.internal.fleet;

import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.EngineRole;

/** An engine should get another role. */
public record RoleChange(UpstreamId upstream, EngineRole role) {}
