package io.banyantally.internal.configuration;

import java.util.List;

/** A request to a peer for buckets by their hashes. */
record FetchQuery(List<String> hashes) {}
