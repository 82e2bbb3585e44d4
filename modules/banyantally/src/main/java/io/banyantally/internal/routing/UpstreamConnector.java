package io.banyantally.internal.routing;

import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Connects to upstreams; implemented by the adapters. */
public interface UpstreamConnector {

    /** Returns the engine at an upstream's address. */
    Engine engine(KnownUpstream upstream);

    /** Returns the plain service at an upstream's address. */
    PlainService plainService(KnownUpstream upstream);
}
