package io.banyantally.internal.admission;

/**
 * Limits retries to a fraction of first attempts, so that an outage cannot multiply the load. Each first attempt adds
 * {@link #RETRIES_PER_FIRST_ATTEMPT} to the budget, and each retry takes 1.
 */
public final class RetryBudget {
    /** Retries that each first attempt adds to the budget. */
    public static final double RETRIES_PER_FIRST_ATTEMPT = 0.1;

    /** Largest number of unused retries in the budget, and its initial value. */
    public static final double MAXIMUM_SAVED_RETRIES = 10;

    private double savedRetries = MAXIMUM_SAVED_RETRIES;

    /** Adds to the budget for the first attempt of a request. */
    public synchronized void recordFirstAttempt() {
        savedRetries = Math.min(MAXIMUM_SAVED_RETRIES, savedRetries + RETRIES_PER_FIRST_ATTEMPT);
    }

    /** Takes one retry out of the budget; returns false if less than one is left. */
    public synchronized boolean tryRetry() {
        if (savedRetries < 1) {
            return false;
        }
        savedRetries -= 1;
        return true;
    }

    /** Returns whether {@link #tryRetry} would succeed now, without taking a retry. */
    public synchronized boolean allowsRetry() {
        return savedRetries >= 1;
    }
}
