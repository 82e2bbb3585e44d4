package io.banyantally.internal.admission;

/**
 * A token bucket whose balance may go below zero, so that a request larger than the burst is let in and paid for
 * afterwards. Not safe for use by several threads.
 */
final class RateBucket {
    /** A second's worth may be used at once. */
    private static final double BURST_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    private double balance;
    private long lastRefill;

    RateBucket(double startingBalance, long nanoTime) {
        this.balance = startingBalance;
        this.lastRefill = nanoTime;
    }

    /** Adds what the rate gave since the last call. */
    void refill(double ratePerSecond, long nanoTime) {
        double added = ratePerSecond * (nanoTime - lastRefill) / NANOS_PER_SECOND;
        lastRefill = nanoTime;
        balance = Math.min(Math.max(1, ratePerSecond * BURST_SECONDS), balance + added);
    }

    /** Returns how many seconds pass until the balance is positive again. */
    double secondsUntilPositive(double ratePerSecond) {
        return balance > 0 ? 0 : (-balance + 1) / Math.max(1e-9, ratePerSecond);
    }

    void take(double amount) {
        balance -= amount;
    }
}
