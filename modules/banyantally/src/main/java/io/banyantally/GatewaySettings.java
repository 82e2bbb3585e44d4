package io.banyantally;

import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.internal.placement.AccountLimitRule;
import io.banyantally.internal.placement.RetryAllowance.RetryLimit;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The settings of a gateway process.
 *
 * @param callers the listen address for callers
 * @param peers the listen address for other VMs
 * @param usageWindow the length of a usage window
 * @param usageDueTime the maximum time from the end of a usage window to its report
 * @param dutyTurnTime the time within which two holders of the duties must not act in turns
 * @param retryRatio the retry budget of a service over all VMs, in retries per request
 * @param retryExtra additional retries of a service in each window, over all VMs
 * @param retryWindow the sliding window of the retry budget
 * @param gracePeriod the time from the stop signal until the process is killed
 * @param addressLifetime how long callers cache the addresses of VMs
 * @param zoneMegabyteMillis the milliseconds of a caller's time that sending a million bytes between zones is worth; 0
 *     if placement ignores zones
 * @param measuresRates whether placement uses the measured rates of engines
 * @param quotaWindow the window in which the units of an account's rate limit are counted
 * @param quotaExcess the fraction beyond a rate limit and its burst that is tolerated in a window
 * @param quotaSlack the tokens beyond that which are tolerated in a window
 */
public record GatewaySettings(
        VmId vm,
        AvailabilityZone zone,
        InetSocketAddress callers,
        InetSocketAddress peers,
        Duration usageWindow,
        Duration usageDueTime,
        Duration dutyTurnTime,
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        Duration gracePeriod,
        Duration addressLifetime,
        double zoneMegabyteMillis,
        boolean measuresRates,
        Duration quotaWindow,
        double quotaExcess,
        double quotaSlack) {

    /** The window of rate limits where the settings name none. */
    public static final Duration DEFAULT_QUOTA_WINDOW = Duration.ofSeconds(8);

    /**
     * From the last response to a request accepted during a graceful shutdown to the kill; the last usage is written
     * then.
     */
    private static final Duration LAST_RESPONSE_MARGIN = Duration.ofMillis(1200);

    /**
     * From the abort of streams that started before the signal to the kill. Closing takes some ten milliseconds, and
     * the JVM waits 0.3 s for threads in native code before it exits.
     */
    private static final Duration STOP_MARGIN = Duration.ofMillis(600);

    /** How long callers may still send requests on connections that are being closed. */
    private static final Duration CONNECTION_CLOSE_TIME = Duration.ofMillis(800);

    /** Rejects a grace period that is too short for a graceful shutdown. */
    public GatewaySettings {
        Duration minimum = addressLifetime.plus(CONNECTION_CLOSE_TIME).plus(LAST_RESPONSE_MARGIN);
        if (gracePeriod.compareTo(minimum) <= 0) {
            throw new IllegalArgumentException(
                    "grace period " + gracePeriod + " is too short; a shutdown needs more than " + minimum);
        }
    }

    /** Returns the listen address for callers, as {@code address:port}. */
    public String callersText() {
        return SocketAddresses.text(callers);
    }

    /** Returns the listen address for other VMs, as {@code address:port}. */
    String peersText() {
        return SocketAddresses.text(peers);
    }

    /** Returns the time from the stop signal to the last response to a request that was accepted after the signal. */
    Duration lastResponseTime() {
        return gracePeriod.minus(LAST_RESPONSE_MARGIN);
    }

    /** Returns the time from the stop signal to the exit of the process, even if requests are open. */
    Duration stopTime() {
        return gracePeriod.minus(STOP_MARGIN);
    }

    Duration connectionCloseTime() {
        return CONNECTION_CLOSE_TIME;
    }

    AccountLimitRule accountLimits() {
        return new AccountLimitRule(quotaWindow, quotaExcess, quotaSlack);
    }

    RetryLimit retryLimit() {
        return new RetryLimit(retryRatio, retryExtra, retryWindow);
    }
}
