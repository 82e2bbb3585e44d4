package io.banyantally.internal.routing;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.List;

/**
 * What a VM sends to its peers: its work in flight, the load reports that it polled, the cache events that it read, and
 * the new prefixes that it sent to upstreams. Entries are arrays, since field names made up more than half of the
 * bytes.
 */
record LoadMessage(
        List<UpstreamWork> work, List<PolledReport> reports, List<CacheChange> cacheChanges, List<SentPrefixes> sent) {
    /** The sender's work in flight at one upstream; upstreams without any are left out. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record UpstreamWork(String upstream, long prefillTokens, int streams) {}

    /** A load report that the sender polled; {@code ageMillis} is the time since then. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PolledReport(
            String upstream,
            long number,
            long queuedPromptTokens,
            int runningStreams,
            int usedBlocks,
            int totalBlocks,
            String role,
            long ageMillis) {}

    /** A cache event that the sender read. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record CacheChange(String upstream, long prefixHash, boolean stored) {}

    /** Prefixes that the sender sent to an upstream which was not known to have them in its cache. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record SentPrefixes(String upstream, List<Long> prefixHashes) {}
}
