package io.banyantally.internal.configuration;

import java.util.List;

/** The first requested buckets, as many as fit into one answer; none if the peer does not have the first. */
record FetchAnswer(List<byte[]> buckets) {}
