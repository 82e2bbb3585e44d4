package io.banyantally.internal.admission;

import io.banyantally.internal.configuration.ClientAccountParameters;
import java.util.Optional;

/** One client account on this VM: its limits, demand, retry budget and output estimate. Locked for itself alone. */
final class AccountState {
    /** Weight of a new observation in the estimate of outputs. */
    private static final double OUTPUT_SMOOTHING = 0.05;

    /** Before anything was measured, half the allowed output is expected. */
    private static final double INITIAL_OUTPUT_RATIO = 0.5;

    /** Demand is averaged over about this many seconds. */
    private static final double DEMAND_SECONDS = 5;

    /** Smaller steps towards a share are told with the next larger one. */
    private static final double NOTABLE_SHARE_CHANGE = 1e-6;

    private static final double NANOS_PER_SECOND = 1e9;

    private final RetryBudget retries = new RetryBudget();
    private final RateBucket requestBucket;
    private final RateBucket tokenBucket;
    private double share;
    private int running;
    private double outputRatio = INITIAL_OUTPUT_RATIO;
    private double demand;
    private long demandAt;
    private long lastChange;

    AccountState(ClientAccountParameters parameters, double share, long nanoTime) {
        this.share = share;
        this.requestBucket = new RateBucket(parameters.requestsPerSecond() * share, nanoTime);
        this.tokenBucket = new RateBucket(parameters.tokensPerSecond() * share, nanoTime);
        this.demandAt = nanoTime;
        this.lastChange = nanoTime;
    }

    /** Counts the demand of a request, and takes it out of the limits or returns the seconds until it may come back. */
    synchronized Optional<Double> takeOrWait(ClientAccountParameters parameters, WorkEstimate work, long nanoTime) {
        double tokens = work.promptTokens() + work.outputTokens();
        fadeDemand(nanoTime);
        demand += tokens / DEMAND_SECONDS;
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

    /** A VM lets one request in even when its share is below one, so concurrency may pass the limit by one for each VM. */
    private int concurrencyLimit(ClientAccountParameters parameters) {
        return Math.max(1, (int) Math.floor(parameters.concurrentRequests() * share));
    }

    /** Gives back what a refused request had taken. */
    synchronized void giveBack(WorkEstimate work) {
        running--;
        requestBucket.take(-1);
        tokenBucket.take(-(work.promptTokens() + work.outputTokens()));
    }

    /** Corrects the tokens by what was really generated. */
    synchronized void finished(WorkEstimate estimate, int allowedTokens, int outputTokens) {
        running--;
        tokenBucket.take(outputTokens - estimate.outputTokens());
        if (allowedTokens > 0) {
            double ratio = Math.min(1, (double) outputTokens / allowedTokens);
            outputRatio += OUTPUT_SMOOTHING * (ratio - outputRatio);
        }
    }

    synchronized void abandoned() {
        running--;
    }

    /** Expects the part of the allowed output that earlier requests of the account have used. */
    synchronized WorkEstimate expected(WorkEstimate allowed) {
        return new WorkEstimate(allowed.promptTokens(), (int) Math.ceil(allowed.outputTokens() * outputRatio));
    }

    synchronized double demand(long nanoTime) {
        fadeDemand(nanoTime);
        return demand;
    }

    private void fadeDemand(long nanoTime) {
        demand *= Math.exp(-(nanoTime - demandAt) / NANOS_PER_SECOND / DEMAND_SECONDS);
        demandAt = nanoTime;
    }

    synchronized double share() {
        return share;
    }

    synchronized void setShare(double share, long nanoTime) {
        if (Math.abs(share - this.share) > NOTABLE_SHARE_CHANGE) {
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
