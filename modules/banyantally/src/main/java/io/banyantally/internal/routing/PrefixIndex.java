package io.banyantally.internal.routing;

import io.banyantally.upstream.CacheEvent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records which upstreams probably have which prompt prefix in their cache. Filled from cache events, which arrive late
 * and with gaps, and from the prefixes that this VM and its peers have sent. Its size is bounded by two generations:
 * when the current one is full, it replaces the previous one, whose prefixes are dropped.
 */
final class PrefixIndex {
    /** How long an engine usually keeps a prefix that it was sent; assumed when its cache events are lost. */
    static final long SENT_LIFETIME_NANOS = 60_000_000_000L;

    /**
     * How long an engine is assumed to cache a prefix after a cache event. Longer than without an event, since an
     * eviction is reported as well; after a lost eviction event the entry is wrong for at most this long.
     */
    static final long EVENT_LIFETIME_NANOS = 180_000_000_000L;

    private static final Holder[] NO_HOLDERS = {};

    private final int generationCapacity;
    private volatile Map<Long, Holder[]> current = new ConcurrentHashMap<>();
    private volatile Map<Long, Holder[]> previous = Map.of();

    /** Creates an empty index of at most twice {@code generationCapacity} prefixes. */
    PrefixIndex(int generationCapacity) {
        this.generationCapacity = generationCapacity;
    }

    /** An upstream that probably has a prefix in its cache, and when this is no longer assumed. */
    record Holder(UpstreamState upstream, long expiresAt) {}

    Holder[] holders(long hash) {
        Holder[] found = current.get(hash);
        if (found == null) {
            found = previous.get(hash);
        }
        return found == null ? NO_HOLDERS : found;
    }

    /** Records prefixes that were sent to an upstream; returns whether any of them was not known to be cached there. */
    boolean recordSent(long[] hashes, UpstreamState upstream, long now) {
        boolean isNew = false;
        for (long hash : hashes) {
            isNew |= add(hash, upstream, now + SENT_LIFETIME_NANOS);
        }
        return isNew;
    }

    void apply(CacheEvent event, UpstreamState upstream, long now) {
        if (event.stored()) {
            add(event.prefixHash(), upstream, now + EVENT_LIFETIME_NANOS);
        } else {
            remove(event.prefixHash(), upstream);
        }
    }

    /** Applies events in order. */
    void apply(List<CacheEvent> events, UpstreamState upstream, long now) {
        events.forEach(event -> apply(event, upstream, now));
    }

    private boolean add(long hash, UpstreamState upstream, long expiresAt) {
        if (current.size() >= generationCapacity) {
            previous = current;
            current = new ConcurrentHashMap<>();
        }
        Holder[] holders = holders(hash);
        for (Holder holder : holders) {
            // A recent entry is not written again, since most requests have prefixes that were recorded shortly before.
            if (holder.upstream() == upstream
                    && expiresAt - holder.expiresAt() < SENT_LIFETIME_NANOS / 4
                    && current.containsKey(hash)) {
                return false;
            }
        }
        current.merge(
                hash,
                withHolder(holders, upstream, expiresAt),
                (present, added) -> withHolder(present, upstream, expiresAt));
        return true;
    }

    private static Holder[] withHolder(Holder[] present, UpstreamState upstream, long expiresAt) {
        for (int index = 0; index < present.length; index++) {
            if (present[index].upstream() == upstream) {
                Holder[] renewed = present.clone();
                renewed[index] = new Holder(upstream, Math.max(expiresAt, present[index].expiresAt()));
                return renewed;
            }
        }
        Holder[] extended = Arrays.copyOf(present, present.length + 1);
        extended[present.length] = new Holder(upstream, expiresAt);
        return extended;
    }

    void remove(long hash, UpstreamState upstream) {
        Holder[] holders = holders(hash);
        if (holders.length == 0) {
            return;
        }
        Holder[] remaining = Arrays.stream(holders)
                .filter(holder -> holder.upstream() != upstream)
                .toArray(Holder[]::new);
        current.put(hash, remaining);
    }
}
