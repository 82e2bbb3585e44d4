package io.banyantally.internal.adapter;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;

/** Gives an upstream back, as it goes on the wire. */
public record GiveBackRequest(UpstreamId upstream, FencingNumber fencingNumber) {

    /** Where it is sent. */
    public static final String PATH = "/upstreams/give-back";
}
