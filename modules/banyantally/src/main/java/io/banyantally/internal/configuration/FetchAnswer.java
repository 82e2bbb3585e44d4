package io.banyantally.internal.configuration;

import java.util.List;

/** The first of the buckets asked for, as many as one answer holds; none if the peer does not hold the first. */
record FetchAnswer(List<byte[]> buckets) {}
