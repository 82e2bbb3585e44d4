package io.banyantally.internal.routing;

import io.banyantally.internal.routing.HoldReport.HeldWork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.UpstreamId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

/**
 * The holds that this VM knows. A word of an earlier owner, or an earlier word of the same owner, never replaces a later
 * one. A hold that has expired stays until {@link #dropExpired} is called, for this VM may have been paused or cut off
 * while the owner renewed it.
 */
public final class HoldTable {

    /** How long ended holds are remembered, so that a delayed renewal does not bring them back. */
    private static final Duration END_MEMORY = Duration.ofSeconds(60);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Map<HoldKey, Hold> holds = new HashMap<>();
    private final Map<String, Long> highestOwner = new HashMap<>();
    private final Map<UpstreamId, Long> heldSince = new ConcurrentHashMap<>();
    private volatile Set<UpstreamId> held = Set.of();
    private volatile boolean synced;

    /** Creates an empty table that has not been compared with any peer yet. */
    public HoldTable(MonotonicClock clock, Timeline timeline) {
        this.clock = clock;
        this.timeline = timeline;
    }

    /** Returns the upstreams that get no new work; the same set object while nothing changes. */
    Set<UpstreamId> held() {
        return held;
    }

    /** Returns whether the table was compared with the peers since the start; before that, holds may be missing. */
    boolean isSynced() {
        return synced;
    }

    void setSynced() {
        synced = true;
    }

    /** Returns the clock's reading when the hold began here; call it only for a held upstream. */
    long heldSince(UpstreamId upstream) {
        return heldSince.getOrDefault(upstream, clock.nanoTime());
    }

    /** Takes a word in; returns false if a later one is known. */
    synchronized boolean put(HoldKey key, Hold word) {
        long highest = highestOwner.getOrDefault(key.scope(), 0L);
        Hold known = holds.get(key);
        if (word.fencingNumber() < highest || (known != null && !word.isAfter(known))) {
            return false;
        }
        highestOwner.put(key.scope(), word.fencingNumber());
        holds.put(key, word);
        refresh();
        return true;
    }

    /** Returns the latest word on an upstream, or null. */
    synchronized Hold get(HoldKey key) {
        return holds.get(key);
    }

    /** Returns whether an owner after {@code fencingNumber} is known. */
    synchronized boolean knowsLaterOwner(String scope, long fencingNumber) {
        return highestOwner.getOrDefault(scope, 0L) > fencingNumber;
    }

    synchronized void merge(List<HoldRow> rows) {
        long now = clock.nanoTime();
        for (HoldRow row : rows) {
            put(
                    new HoldKey(row.scope(), new UpstreamId(row.upstream())),
                    new Hold(
                            row.fencingNumber(),
                            row.sequence(),
                            row.held(),
                            now + row.remainingMillis() * NANOS_PER_MILLI));
        }
    }

    synchronized List<HoldRow> rows() {
        long now = clock.nanoTime();
        holds.values().removeIf(hold -> !hold.held() && hold.isExpired(now));
        List<HoldRow> rows = new ArrayList<>();
        holds.forEach((key, hold) -> {
            if (!hold.isExpired(now)) {
                rows.add(new HoldRow(
                        key.scope(),
                        key.upstream().value(),
                        hold.fencingNumber(),
                        hold.sequence(),
                        hold.held(),
                        (hold.expiresAt() - now) / NANOS_PER_MILLI));
            }
        });
        return rows;
    }

    /** Returns what this VM holds; the running work is read after the hold was set, so it can't rise any more. */
    synchronized List<HeldWork> report(ToIntFunction<UpstreamId> running) {
        long now = clock.nanoTime();
        List<HeldWork> report = new ArrayList<>();
        holds.forEach((key, hold) -> {
            if (hold.held() && !hold.isExpired(now)) {
                report.add(new HeldWork(
                        key.scope(),
                        key.upstream().value(),
                        hold.fencingNumber(),
                        hold.sequence(),
                        running.applyAsInt(key.upstream())));
            }
        });
        return report;
    }

    synchronized boolean hasExpired() {
        long now = clock.nanoTime();
        return holds.values().stream().anyMatch(hold -> hold.held() && hold.isExpired(now));
    }

    /** Drops the holds that had expired at a reading of the clock; call it when the peers had no later word since then. */
    synchronized void dropExpired(long at) {
        if (holds.values().removeIf(hold -> hold.isExpired(at))) {
            refresh();
        }
    }

    /** Returns the word that ends a hold. */
    Hold end(long fencingNumber, long sequence) {
        return new Hold(fencingNumber, sequence, false, clock.nanoTime() + END_MEMORY.toNanos());
    }

    private void refresh() {
        Set<UpstreamId> now = holds.entrySet().stream()
                .filter(entry -> entry.getValue().held())
                .map(entry -> entry.getKey().upstream())
                .collect(Collectors.toUnmodifiableSet());
        if (now.equals(held)) {
            return;
        }
        for (UpstreamId upstream : now) {
            if (heldSince.putIfAbsent(upstream, clock.nanoTime()) == null) {
                timeline.record(
                        EventKind.UPSTREAM_LEAVING,
                        EventField.of("upstream", upstream),
                        EventField.of("reason", "held for a planned change"));
            }
        }
        heldSince.keySet().retainAll(now);
        held = now;
    }
}
