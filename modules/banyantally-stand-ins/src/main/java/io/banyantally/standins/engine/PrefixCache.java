package io.banyantally.standins.engine;

import io.banyantally.upstream.CacheEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The cached prefix blocks of an engine; the least recently used one is evicted first. */
final class PrefixCache {
    /** The most events kept for readers that poll rarely. */
    private static final int MAXIMUM_KEPT_EVENTS = 4_096;

    private final EngineCosts costs;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);
    private final Map<Long, Integer> pinCounts = new HashMap<>();
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long lastNumber;

    PrefixCache(EngineCosts costs) {
        this.costs = costs;
    }

    private record TimedEvent(long visibleAt, CacheEvent event) {}

    /** Returns how many leading blocks are cached and marks them as used. */
    int heldBlocks(long[] hashes) {
        int held = 0;
        while (held < hashes.length && blocks.get(hashes[held]) != null) {
            held++;
        }
        return held;
    }

    /** Protects the blocks from index {@code from} to {@code count - 1} from eviction until they are unpinned. */
    void pin(long[] hashes, int from, int count) {
        for (int block = from; block < count; block++) {
            pinCounts.merge(hashes[block], 1, Integer::sum);
        }
    }

    void unpin(long[] hashes, int count) {
        for (int block = 0; block < count; block++) {
            pinCounts.computeIfPresent(hashes[block], (hash, users) -> users == 1 ? null : users - 1);
        }
    }

    void store(long[] hashes, long now) {
        for (long hash : hashes) {
            if (blocks.put(hash, Boolean.TRUE) == null) {
                record(hash, true, now);
            }
        }
    }

    void shrinkTo(int maximumBlocks, long now) {
        Iterator<Long> eldest = blocks.keySet().iterator();
        while (blocks.size() > Math.max(0, maximumBlocks) && eldest.hasNext()) {
            long hash = eldest.next();
            if (!pinCounts.containsKey(hash)) {
                eldest.remove();
                record(hash, false, now);
            }
        }
    }

    int size() {
        return blocks.size();
    }

    private void record(long hash, boolean stored, long now) {
        lastNumber++;
        if (costs.cacheEventGapEvery() > 0 && lastNumber % costs.cacheEventGapEvery() == 0) {
            return;
        }
        if (events.size() == MAXIMUM_KEPT_EVENTS) {
            events.removeFirst();
        }
        events.addLast(new TimedEvent(now + costs.cacheEventLagNanos(), new CacheEvent(lastNumber, hash, stored)));
    }

    List<CacheEvent> eventsAfter(long after, long now) {
        List<CacheEvent> visible = new ArrayList<>();
        for (TimedEvent timed : events) {
            if (timed.visibleAt() > now) {
                break;
            }
            if (timed.event().number() > after) {
                visible.add(timed.event());
            }
        }
        return visible;
    }
}
