package io.banyantally.internal.adapter;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;

/** The JSON request that returns an upstream to the platform. */
public record GiveBackRequest(UpstreamId upstream, FencingNumber fencingNumber) {

    /** The request path. */
    public static final String PATH = "/upstreams/give-back";
}
