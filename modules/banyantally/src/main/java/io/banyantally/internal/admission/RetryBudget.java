package io.banyantally.internal.admission;

/**
 * Bounds retries to a share of first tries, so that an outage can't multiply the load. Each first try adds a part of a
 * retry; each retry takes a whole one.
 */
public final class RetryBudget {
    /** Retries that each first try pays for. */
    public static final double RETRIES_PER_TRY = 0.1;

    /** Retries that can be saved up; this many are allowed at the start too. */
    public static final double MAXIMUM_SAVED = 10;

    private double saved = MAXIMUM_SAVED;

    /** Counts a first try. */
    public synchronized void recordFirstAttempt() {
        saved = Math.min(MAXIMUM_SAVED, saved + RETRIES_PER_TRY);
    }

    /** Takes a retry out of the budget, or returns false when it is spent. */
    public synchronized boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved -= 1;
        return true;
    }

    /** Returns whether a retry would be allowed now. */
    public synchronized boolean allowsRetry() {
        return saved >= 1;
    }
}
