package io.banyantally.internal.duty;

import io.banyantally.internal.time.WallClock;
import io.banyantally.model.ClientAccountId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts the requests that this process started to run on upstreams, by usage window. */
public final class UsageLedger {

    /** Number of windows kept; the holder of the duties sums a window within two window lengths after its end. */
    static final int WINDOWS_KEPT = 8;

    private final WallClock clock;
    private final long windowMillis;
    private final TreeMap<Long, Map<ClientAccountId, Long>> windows = new TreeMap<>();
    private long changes;

    /** Creates an empty ledger. */
    public UsageLedger(WallClock clock, Duration window) {
        if (!window.isPositive()) {
            throw new IllegalArgumentException("usage window " + window + " must be positive");
        }
        this.clock = clock;
        this.windowMillis = window.toMillis();
    }

    /** Counts a request that starts to run now. */
    public synchronized void countStarted(ClientAccountId account) {
        windows.computeIfAbsent(currentWindow(), number -> new HashMap<>()).merge(account, 1L, Long::sum);
        changes++;
        while (windows.size() > WINDOWS_KEPT) {
            windows.pollFirstEntry();
        }
    }

    /** Returns the length of a window. */
    Duration window() {
        return Duration.ofMillis(windowMillis);
    }

    /** Returns the number of the current window. */
    public long currentWindow() {
        return windowIn(Duration.ZERO);
    }

    /** Returns the number of the window in which the time after {@code time} is. */
    long windowIn(Duration time) {
        return Math.floorDiv(clock.millis() + time.toMillis(), windowMillis);
    }

    /** Returns the time since the end of a window; negative while it is open. */
    public Duration sinceEnd(long window) {
        return Duration.ofMillis(clock.millis() - (window + 1) * windowMillis);
    }

    /** Returns the number of requests counted so far. */
    public synchronized long changes() {
        return changes;
    }

    /** Returns the counts of the windows kept; {@code closed} states that this process will count no more. */
    public synchronized WindowCounts snapshot(boolean closed) {
        return new WindowCounts(currentWindow(), closed, windows);
    }
}
