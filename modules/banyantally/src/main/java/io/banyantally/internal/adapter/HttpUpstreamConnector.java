package io.banyantally.internal.adapter;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.PlainService;

/** Creates HTTP clients of upstreams. They hold no state, so each use gets a new one. */
public final class HttpUpstreamConnector implements UpstreamConnector {

    private final AdapterHttpClient client;

    /** Creates a connector that shares a client with the other adapters. */
    public HttpUpstreamConnector(AdapterHttpClient client) {
        this.client = client;
    }

    @Override
    public Engine engine(KnownUpstream upstream) {
        return new HttpEngine(client, upstream.address());
    }

    @Override
    public PlainService plainService(KnownUpstream upstream) {
        return new HttpPlainService(client, upstream.address());
    }
}
