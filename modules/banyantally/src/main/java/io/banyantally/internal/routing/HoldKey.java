package io.banyantally.internal.routing;

import io.banyantally.model.UpstreamId;

/** Identifies the hold of one upstream by the owner of one scope. */
record HoldKey(String scope, UpstreamId upstream) {}
