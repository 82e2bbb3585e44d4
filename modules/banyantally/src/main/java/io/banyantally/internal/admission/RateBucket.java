package io.banyantally.internal.admission;

/**
 * A token bucket whose balance may become negative: a request larger than the burst is admitted, and later requests
 * wait until the balance is positive again. Not thread-safe.
 */
final class RateBucket {
    /** Burst size, in seconds of the rate. */
    private static final double BURST_SECONDS = 1;

    private static final double NANOS_PER_SECOND = 1e9;

    private double balance;
    private long lastRefill;

    RateBucket(double startingBalance, long nanoTime) {
        this.balance = startingBalance;
        this.lastRefill = nanoTime;
    }

    /** Adds the tokens for the time since the last call, up to the burst size. */
    void refill(double ratePerSecond, long nanoTime) {
        double added = ratePerSecond * (nanoTime - lastRefill) / NANOS_PER_SECOND;
        lastRefill = nanoTime;
        balance = Math.min(Math.max(1, ratePerSecond * BURST_SECONDS), balance + added);
    }

    /** Returns the seconds until the balance is positive, 0 if it is positive now. */
    double secondsUntilPositive(double ratePerSecond) {
        return balance > 0 ? 0 : (-balance + 1) / Math.max(1e-9, ratePerSecond);
    }

    void take(double amount) {
        balance -= amount;
    }
}
