package io.banyantally.standins.engine;

import io.banyantally.upstream.CacheEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The KV cache blocks of an engine, least recently used first, and the events about them: late and with gaps. */
final class StoredPrefixes {

    private static final int KEPT_EVENTS = 4096;
    private static final int LOAD_PERCENT = 75;

    private final int capacityBlocks;
    private final long eventLagNanos;
    private final double eventLoss;
    private final SplittableRandom random;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, LOAD_PERCENT / 100f, true);
    private final Deque<TimedEvent> events = new ArrayDeque<>();
    private long lastNumber;

    StoredPrefixes(int capacityBlocks, long eventLagNanos, double eventLoss, long seed) {
        this.capacityBlocks = capacityBlocks;
        this.eventLagNanos = eventLagNanos;
        this.eventLoss = eventLoss;
        this.random = new SplittableRandom(seed);
    }

    /** Returns how many tokens of the prompt are held, and stores the rest. */
    synchronized int useAndStore(List<Long> prefixHashes) {
        int held = 0;
        for (long hash : prefixHashes) {
            if (blocks.get(hash) == null) {
                break;
            }
            held++;
        }
        for (long hash : prefixHashes.subList(held, prefixHashes.size())) {
            store(hash);
        }
        return held * PromptBlocks.BLOCK_TOKENS;
    }

    synchronized boolean holds(long hash) {
        return blocks.containsKey(hash);
    }

    synchronized void store(long hash) {
        if (blocks.put(hash, Boolean.TRUE) == null) {
            publish(hash, true);
        }
        Iterator<Long> oldest = blocks.keySet().iterator();
        while (blocks.size() > capacityBlocks) {
            long evicted = oldest.next();
            oldest.remove();
            publish(evicted, false);
        }
    }

    private void publish(long hash, boolean stored) {
        lastNumber++;
        if (random.nextDouble() >= eventLoss) {
            events.addLast(new TimedEvent(new CacheEvent(lastNumber, hash, stored), System.nanoTime()));
        }
        if (events.size() > KEPT_EVENTS) {
            events.removeFirst();
        }
    }

    synchronized List<CacheEvent> eventsAfter(long number) {
        long now = System.nanoTime();
        return events.stream()
                .filter(timed -> now - timed.at() >= eventLagNanos)
                .map(TimedEvent::event)
                .filter(event -> event.number() > number)
                .toList();
    }

    synchronized int usedBlocks() {
        return blocks.size();
    }

    int capacityBlocks() {
        return capacityBlocks;
    }

    private record TimedEvent(CacheEvent event, long at) {}
}
