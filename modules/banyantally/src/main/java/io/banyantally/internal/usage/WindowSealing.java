package io.banyantally.internal.usage;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.UsageFigures;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes a sealed window from the previous one and the gathered counters. The reported figures are always the
 * increase of the billed counters, so their sum over all windows equals the billed counters.
 */
final class WindowSealing {

    private final SealedWindow previous;
    private final GatheredCounters gathered;
    private final SealedWindowReader sealedWindows;
    private final long window;
    private final CounterTable billed;
    private final Map<ClientAccountId, SealedFigures> figures = new TreeMap<>();
    private final Map<CounterOrigin, Integer> inactiveWindows = new HashMap<>();
    private final Map<CounterOrigin, Long> tombstones;

    private WindowSealing(SealedWindow previous, GatheredCounters gathered, SealedWindowReader sealedWindows) {
        this.previous = previous;
        this.gathered = gathered;
        this.sealedWindows = sealedWindows;
        this.window = previous.window() + 1;
        this.billed = previous.billed().copy();
        this.tombstones = new HashMap<>(previous.tombstones());
    }

    /** Reads the record of an earlier window. */
    @FunctionalInterface
    interface SealedWindowReader {
        SealedWindow read(long window) throws StoreException;
    }

    /**
     * Returns the window that follows {@code previous}.
     *
     * @throws StoreException if the billed counters of a process with a tombstone could not be read
     */
    static SealedWindow seal(SealedWindow previous, GatheredCounters gathered, SealedWindowReader sealedWindows)
            throws StoreException {
        return new WindowSealing(previous, gathered, sealedWindows).seal();
    }

    private SealedWindow seal() throws StoreException {
        for (CounterOrigin origin : gathered.counters().origins()) {
            bill(origin);
        }
        for (CounterOrigin origin : billed.origins()) {
            countInactiveWindow(origin);
        }
        tombstones.entrySet().removeIf(this::isExpired);
        return new SealedWindow(window, figures, billed, gathered.answered(), inactiveWindows, tombstones);
    }

    private void bill(CounterOrigin origin) throws StoreException {
        Map<ClientAccountId, UsageFigures> counted = gathered.counters().row(origin);
        Long lastRecord = tombstones.get(origin);
        if (lastRecord != null) {
            CounterTable earlier = sealedWindows.read(lastRecord).billed();
            if (!exceeds(counted, origin, earlier) && !gathered.answered().contains(origin)) {
                return;
            }
            tombstones.remove(origin);
            billed.mergeRow(origin, earlier.row(origin));
        } else if (!billed.contains(origin) && gathered.staleOrigins().contains(origin)) {
            // The tombstone of this origin may have been removed, so these counters may have been billed already; only
            // later increases are billed.
            billed.mergeRow(origin, counted);
            return;
        }
        boolean late = isLate(origin);
        billed.addOrigin(origin);
        counted.forEach((account, count) -> {
            UsageFigures added = FigureArithmetic.nonNegativeDifference(count, billed.figures(origin, account));
            if (!FigureArithmetic.isZero(added)) {
                figures.merge(
                        account,
                        SealedFigures.NONE.plus(added, late),
                        (one, other) -> new SealedFigures(
                                one.figures().plus(other.figures()), one.late().plus(other.late())));
                billed.merge(origin, account, count);
            }
        });
    }

    private static boolean exceeds(
            Map<ClientAccountId, UsageFigures> counted, CounterOrigin origin, CounterTable earlier) {
        return counted.entrySet().stream()
                .anyMatch(counter -> !FigureArithmetic.isZero(FigureArithmetic.nonNegativeDifference(
                        counter.getValue(), earlier.figures(origin, counter.getKey()))));
    }

    /**
     * Returns whether usage of an origin may be older than this window: the origin did not answer when the previous
     * window was sealed, and either it was known before or it still does not answer.
     */
    private boolean isLate(CounterOrigin origin) {
        if (window == 1 || previous.answered().contains(origin)) {
            return false;
        }
        boolean known =
                previous.billed().contains(origin) || previous.tombstones().containsKey(origin);
        return known || !gathered.answered().contains(origin);
    }

    private void countInactiveWindow(CounterOrigin origin) {
        boolean unchanged = billed.row(origin).equals(previous.billed().row(origin))
                && previous.billed().contains(origin);
        if (gathered.answered().contains(origin) || !unchanged) {
            return;
        }
        int windows = previous.inactiveWindows().getOrDefault(origin, 0) + 1;
        if (windows < SealedWindow.INACTIVE_WINDOWS_BEFORE_TOMBSTONE) {
            inactiveWindows.put(origin, windows);
            return;
        }
        billed.removeOrigins(origin::equals);
        tombstones.put(origin, previous.window());
    }

    /**
     * A tombstone is kept as long as a process still holds counters of its origin, which would be billed twice without
     * it.
     */
    private boolean isExpired(Map.Entry<CounterOrigin, Long> tombstone) {
        return window - tombstone.getValue() > SealedWindow.TOMBSTONE_WINDOWS
                && !gathered.counters().contains(tombstone.getKey());
    }
}
