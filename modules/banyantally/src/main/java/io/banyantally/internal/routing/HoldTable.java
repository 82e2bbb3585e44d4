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
 * The holds that this VM knows. A state set by an earlier owner, or earlier by the same owner, never replaces a later
 * one. An expired hold stays in effect until {@link #dropExpired} is called, since this VM may have been paused or
 * disconnected while the owner renewed the hold.
 */
public final class HoldTable {

    /** How long ended holds are kept, so that a delayed renewal does not restore them. */
    private static final Duration ENDED_HOLD_RETENTION = Duration.ofSeconds(60);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Map<HoldKey, Hold> holds = new HashMap<>();
    private final Map<String, Long> highestFencingNumbers = new HashMap<>();
    private final Map<UpstreamId, Long> heldSince = new ConcurrentHashMap<>();
    private volatile Set<UpstreamId> held = Set.of();
    private volatile boolean synced;

    /** Creates an empty table that has not been synchronized with any peer yet. */
    public HoldTable(MonotonicClock clock, Timeline timeline) {
        this.clock = clock;
        this.timeline = timeline;
    }

    /** Returns the upstreams that get no new work; the same set instance while nothing changes. */
    Set<UpstreamId> heldUpstreams() {
        return held;
    }

    /** Returns whether the table was synchronized with the peers since the start; before that, holds may be missing. */
    boolean isSynced() {
        return synced;
    }

    void setSynced() {
        synced = true;
    }

    /** Returns when this VM first saw the upstream held, on the monotonic clock; the present time if it is not held. */
    long heldSince(UpstreamId upstream) {
        return heldSince.getOrDefault(upstream, clock.nanoTime());
    }

    /** Sets the state of a hold; returns false if a newer one is known. */
    synchronized boolean putIfNewer(HoldKey key, Hold hold) {
        long highest = highestFencingNumbers.getOrDefault(key.scope(), 0L);
        Hold known = holds.get(key);
        if (hold.fencingNumber() < highest || (known != null && !hold.supersedes(known))) {
            return false;
        }
        highestFencingNumbers.put(key.scope(), hold.fencingNumber());
        holds.put(key, hold);
        updateHeldUpstreams();
        return true;
    }

    /** Returns the latest state of a hold, or null. */
    synchronized Hold get(HoldKey key) {
        return holds.get(key);
    }

    /** Returns whether an owner with a higher fencing number is known for the scope. */
    synchronized boolean hasLaterOwner(String scope, long fencingNumber) {
        return highestFencingNumbers.getOrDefault(scope, 0L) > fencingNumber;
    }

    synchronized void merge(List<HoldRow> rows) {
        long now = clock.nanoTime();
        for (HoldRow row : rows) {
            putIfNewer(
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

    /**
     * Returns the holds in effect with this VM's running work, which is read after the hold was set and so can't
     * increase.
     */
    synchronized List<HeldWork> heldWork(ToIntFunction<UpstreamId> running) {
        long now = clock.nanoTime();
        List<HeldWork> work = new ArrayList<>();
        holds.forEach((key, hold) -> {
            if (hold.held() && !hold.isExpired(now)) {
                work.add(new HeldWork(
                        key.scope(),
                        key.upstream().value(),
                        hold.fencingNumber(),
                        hold.sequence(),
                        running.applyAsInt(key.upstream())));
            }
        });
        return work;
    }

    synchronized boolean hasExpired() {
        long now = clock.nanoTime();
        return holds.values().stream().anyMatch(hold -> hold.held() && hold.isExpired(now));
    }

    /**
     * Drops the holds that had expired at a time; call it after all peers were asked since then and had no newer state.
     */
    synchronized void dropExpired(long at) {
        if (holds.values().removeIf(hold -> hold.isExpired(at))) {
            updateHeldUpstreams();
        }
    }

    /** Returns the state that ends a hold. */
    Hold endedHold(long fencingNumber, long sequence) {
        return new Hold(fencingNumber, sequence, false, clock.nanoTime() + ENDED_HOLD_RETENTION.toNanos());
    }

    private void updateHeldUpstreams() {
        Set<UpstreamId> updated = holds.entrySet().stream()
                .filter(entry -> entry.getValue().held())
                .map(entry -> entry.getKey().upstream())
                .collect(Collectors.toUnmodifiableSet());
        if (updated.equals(held)) {
            return;
        }
        for (UpstreamId upstream : updated) {
            if (heldSince.putIfAbsent(upstream, clock.nanoTime()) == null) {
                timeline.record(
                        EventKind.UPSTREAM_LEAVING,
                        EventField.of("upstream", upstream),
                        EventField.of("reason", "held for a planned change"));
            }
        }
        heldSince.keySet().retainAll(updated);
        held = updated;
    }
}
