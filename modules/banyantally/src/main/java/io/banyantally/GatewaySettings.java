package io.banyantally;

import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.internal.placement.RetryAllowance.RetryLimit;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The settings of one gateway process.
 *
 * @param callers where callers connect
 * @param peers where other VMs connect
 * @param usageWindow the length of a usage window
 * @param usageDueTime how long after its end a window is reported at the latest
 * @param dutyTimeToLive how long the duties stay with a holder that no longer renews them
 * @param retryRatio repeats to a service for each request, over all VMs
 * @param retryExtra repeats to a service beside those in each window, over all VMs
 * @param retryWindow the sliding window of both
 * @param gracePeriod the time from the signal to stop until the process is killed
 * @param addressLifetime how long callers use addresses that they were told
 */
public record GatewaySettings(
        VmId vm,
        AvailabilityZone zone,
        InetSocketAddress callers,
        InetSocketAddress peers,
        Duration usageWindow,
        Duration usageDueTime,
        Duration dutyTimeToLive,
        double retryRatio,
        int retryExtra,
        Duration retryWindow,
        Duration gracePeriod,
        Duration addressLifetime) {

    /** Between the last answer to a request that a graceful shutdown takes and the kill; the last usage is written meanwhile. */
    private static final Duration LAST_ANSWER_MARGIN = Duration.ofMillis(1200);

    /**
     * Between the cut of streams from before the signal and the kill. Closing takes some ten milliseconds, and the virtual
     * machine waits 0.3 s for threads in native code before it ends.
     */
    private static final Duration STOP_MARGIN = Duration.ofMillis(600);

    /** The time for callers' last requests on connections that are being closed. */
    private static final Duration CONNECTION_CLOSE_TIME = Duration.ofMillis(800);

    /** Rejects a grace period in which a graceful shutdown does not fit. */
    public GatewaySettings {
        Duration least = addressLifetime.plus(CONNECTION_CLOSE_TIME).plus(LAST_ANSWER_MARGIN);
        if (gracePeriod.compareTo(least) <= 0) {
            throw new IllegalArgumentException(
                    "grace period " + gracePeriod + " is too short; a shutdown needs more than " + least);
        }
    }

    /** Returns where callers connect, as {@code address:port}. */
    public String callersText() {
        return SocketAddresses.text(callers);
    }

    /** Returns where other VMs connect, as {@code address:port}. */
    String peersText() {
        return SocketAddresses.text(peers);
    }

    /** Returns how long after the signal to stop the last request that was taken since has its answer. */
    Duration lastAnswerTime() {
        return gracePeriod.minus(LAST_ANSWER_MARGIN);
    }

    /** Returns how long after the signal to stop the process ends, whatever is open. */
    Duration stopTime() {
        return gracePeriod.minus(STOP_MARGIN);
    }

    Duration connectionCloseTime() {
        return CONNECTION_CLOSE_TIME;
    }

    RetryLimit retryLimit() {
        return new RetryLimit(retryRatio, retryExtra, retryWindow);
    }
}
