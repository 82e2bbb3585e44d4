package io.banyantally.internal.routing;

import io.banyantally.upstream.CacheEvent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Which upstream probably holds which prompt prefix. Filled by cache events, which come late and with gaps, and by what
 * this VM has sent itself. Bounded by two generations: when the young one is full it becomes the old one, and what is in
 * neither is forgotten.
 */
final class PrefixIndex {
    /** An engine that was sent a prefix keeps it about this long even when its events were lost. */
    static final long SENT_NANOS = 60_000_000_000L;

    /** An event is believed longer, since an eviction is told as well; a lost eviction misleads for this long at most. */
    static final long TOLD_NANOS = 180_000_000_000L;

    private static final Holder[] NONE = {};

    private final int capacity;
    private volatile Map<Long, Holder[]> young = new ConcurrentHashMap<>();
    private volatile Map<Long, Holder[]> old = Map.of();

    /** Creates an empty index of at most twice {@code capacity} prefixes. */
    PrefixIndex(int capacity) {
        this.capacity = capacity;
    }

    /** An upstream that holds a prefix until a time. */
    record Holder(UpstreamState upstream, long until) {}

    Holder[] holders(long hash) {
        Holder[] found = young.get(hash);
        if (found == null) {
            found = old.get(hash);
        }
        return found == null ? NONE : found;
    }

    /** Notes prefixes that were sent to an upstream; returns whether any of them was not known to be there. */
    boolean sent(long[] hashes, UpstreamState upstream, long now) {
        boolean isNew = false;
        for (long hash : hashes) {
            isNew |= add(hash, upstream, now + SENT_NANOS);
        }
        return isNew;
    }

    void told(CacheEvent event, UpstreamState upstream, long now) {
        if (event.stored()) {
            add(event.prefixHash(), upstream, now + TOLD_NANOS);
        } else {
            remove(event.prefixHash(), upstream);
        }
    }

    /** Applies events in order. */
    void told(List<CacheEvent> events, UpstreamState upstream, long now) {
        events.forEach(event -> told(event, upstream, now));
    }

    private boolean add(long hash, UpstreamState upstream, long until) {
        if (young.size() >= capacity) {
            old = young;
            young = new ConcurrentHashMap<>();
        }
        Holder[] before = holders(hash);
        for (Holder holder : before) {
            // A fresh entry is not written again: most requests meet prefixes that were noted a moment ago.
            if (holder.upstream() == upstream && until - holder.until() < SENT_NANOS / 4 && young.containsKey(hash)) {
                return false;
            }
        }
        young.merge(hash, with(before, upstream, until), (present, added) -> with(present, upstream, until));
        return true;
    }

    private static Holder[] with(Holder[] present, UpstreamState upstream, long until) {
        for (int index = 0; index < present.length; index++) {
            if (present[index].upstream() == upstream) {
                Holder[] renewed = present.clone();
                renewed[index] = new Holder(upstream, Math.max(until, present[index].until()));
                return renewed;
            }
        }
        Holder[] longer = Arrays.copyOf(present, present.length + 1);
        longer[present.length] = new Holder(upstream, until);
        return longer;
    }

    void remove(long hash, UpstreamState upstream) {
        Holder[] before = holders(hash);
        if (before.length == 0) {
            return;
        }
        Holder[] rest = Arrays.stream(before)
                .filter(holder -> holder.upstream() != upstream)
                .toArray(Holder[]::new);
        young.put(hash, rest);
    }
}
