package io.banyantally.internal.admission;

import io.banyantally.internal.configuration.ClientAccountParameters;
import java.util.Optional;

/**
 * One client account on this VM: rate limits, demand, retry budget and output estimate. Each account has its own lock.
 */
final class AccountState {
    /** Weight of a new sample in the moving average of the output ratio. */
    private static final double OUTPUT_RATIO_SMOOTHING_FACTOR = 0.05;

    /** Ratio of generated to allowed output tokens that is assumed before the first request has ended. */
    private static final double INITIAL_OUTPUT_RATIO = 0.5;

    /** Time constant of the exponential decay of demand. */
    private static final double DEMAND_AVERAGING_SECONDS = 5;

    /** Smaller changes of the share do not cause a new report to peers. */
    private static final double MINIMUM_REPORTED_SHARE_CHANGE = 1e-6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RetryBudget retries = new RetryBudget();
    private final RateBucket requestBucket;
    private final RateBucket tokenBucket;
    private double share;
    private int running;
    private double outputRatio = INITIAL_OUTPUT_RATIO;
    private double demand;
    private long demandUpdatedAt;
    private long lastChange;

    AccountState(ClientAccountParameters parameters, double share, long nanoTime) {
        this.share = share;
        this.requestBucket = new RateBucket(parameters.requestsPerSecond() * share, nanoTime);
        this.tokenBucket = new RateBucket(parameters.tokensPerSecond() * share, nanoTime);
        this.demandUpdatedAt = nanoTime;
        this.lastChange = nanoTime;
    }

    /** Records the demand of a request; acquires its limits, or returns the seconds after which it may be retried. */
    synchronized Optional<Double> tryAcquire(ClientAccountParameters parameters, WorkEstimate work, long nanoTime) {
        double tokens = work.promptTokens() + work.outputTokens();
        decayDemand(nanoTime);
        demand += tokens / DEMAND_AVERAGING_SECONDS;
        lastChange = nanoTime;
        double requestRate = parameters.requestsPerSecond() * share;
        double tokenRate = parameters.tokensPerSecond() * share;
        requestBucket.refill(requestRate, nanoTime);
        tokenBucket.refill(tokenRate, nanoTime);
        if (running >= concurrencyLimit(parameters)) {
            return Optional.of(1.0);
        }
        double wait =
                Math.max(requestBucket.secondsUntilPositive(requestRate), tokenBucket.secondsUntilPositive(tokenRate));
        if (wait > 0) {
            return Optional.of(wait);
        }
        requestBucket.take(1);
        tokenBucket.take(tokens);
        running++;
        retries.recordFirstAttempt();
        return Optional.empty();
    }

    /**
     * Admits one request even if the share allows less, so all VMs together may exceed the limit by one request each.
     */
    private int concurrencyLimit(ClientAccountParameters parameters) {
        return Math.max(1, (int) Math.floor(parameters.concurrentRequests() * share));
    }

    /** Returns the tokens and the concurrency slot of a request that was refused after {@link #tryAcquire}. */
    synchronized void refund(WorkEstimate work) {
        running--;
        requestBucket.take(-1);
        tokenBucket.take(-(work.promptTokens() + work.outputTokens()));
    }

    /** Releases the slot and replaces the estimated output tokens by the number generated. */
    synchronized void recordCompletion(WorkEstimate estimate, int allowedTokens, int outputTokens) {
        running--;
        tokenBucket.take(outputTokens - estimate.outputTokens());
        if (allowedTokens > 0) {
            double ratio = Math.min(1, (double) outputTokens / allowedTokens);
            outputRatio += OUTPUT_RATIO_SMOOTHING_FACTOR * (ratio - outputRatio);
        }
    }

    /** Releases the slot of a request that ended without a result; its estimated tokens stay charged. */
    synchronized void release() {
        running--;
    }

    /** Scales the allowed output tokens by the average output ratio of the account's earlier requests. */
    synchronized WorkEstimate expectedWork(WorkEstimate allowed) {
        return new WorkEstimate(allowed.promptTokens(), (int) Math.ceil(allowed.outputTokens() * outputRatio));
    }

    synchronized double demand(long nanoTime) {
        decayDemand(nanoTime);
        return demand;
    }

    private void decayDemand(long nanoTime) {
        demand *= Math.exp(-(nanoTime - demandUpdatedAt) / NANOS_PER_SECOND / DEMAND_AVERAGING_SECONDS);
        demandUpdatedAt = nanoTime;
    }

    synchronized double share() {
        return share;
    }

    synchronized void setShare(double share, long nanoTime) {
        if (Math.abs(share - this.share) > MINIMUM_REPORTED_SHARE_CHANGE) {
            lastChange = nanoTime;
        }
        this.share = share;
    }

    synchronized long lastChange() {
        return lastChange;
    }

    boolean tryRetry() {
        return retries.tryRetry();
    }
}
