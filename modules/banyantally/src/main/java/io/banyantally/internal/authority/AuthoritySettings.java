package io.banyantally.internal.authority;

import java.time.Duration;

/**
 * Durations and limits of scope ownership, measured on the VM's own monotonic clock; see docs/design.md, section 4.14.
 *
 * @param lease how long a lease is valid after its grant or its last renewal
 * @param renewalInterval the time between two renewals
 * @param margin how much earlier than the lease the authority ends; allows for clocks that run at different rates
 * @param takeoverWait how long a new owner waits before its first action, unless the scope was handed over
 * @param releaseLimit how long a release waits for the outcome of the last order; longer than the takeover wait,
 *     after which an unknown outcome is settled
 * @param checkInterval the period of the owner's checks of its lease, rank and pauses
 * @param pauseThreshold the shortest gap between two checks that is reported as a pause of the process
 * @param watchTimeout the timeout of one watch call on a lease; longer watches mean fewer calls
 * @param retryDelay the delay after a failed call to the key-value service, before jitter
 * @param candidacyDelay the additional delay of each lower-ranked candidate before it tries to acquire a vacant scope
 * @param candidates how many VMs compete for a scope and watch its lease, including its owner
 */
public record AuthoritySettings(
        Duration lease,
        Duration renewalInterval,
        Duration margin,
        Duration takeoverWait,
        Duration releaseLimit,
        Duration checkInterval,
        Duration pauseThreshold,
        Duration watchTimeout,
        Duration retryDelay,
        Duration candidacyDelay,
        int candidates) {

    /**
     * The default values. With three candidates a scope survives the loss of any two VMs before the peer lists change.
     */
    public static final AuthoritySettings DEFAULT = new AuthoritySettings(
            Duration.ofSeconds(6),
            Duration.ofSeconds(2),
            Duration.ofMillis(1_500),
            Duration.ofSeconds(5),
            Duration.ofSeconds(7),
            Duration.ofMillis(250),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofMillis(200),
            Duration.ofMillis(300),
            3);

    /** Rejects settings with which an owner could not renew twice before its authority ends. */
    public AuthoritySettings {
        if (lease.minus(margin).compareTo(renewalInterval.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException("lease " + lease + " less margin " + margin
                    + " does not leave time for two renewals every " + renewalInterval + "; use a longer lease");
        }
        if (checkInterval.compareTo(renewalInterval) > 0) {
            throw new IllegalArgumentException("check interval " + checkInterval
                    + " is longer than the renewal interval " + renewalInterval + "; use a shorter one");
        }
        if (candidates < 1) {
            throw new IllegalArgumentException("candidates " + candidates + " is too small; use 1 or more");
        }
    }

    /** Returns the lease less the margin: how long authority lasts after a grant or renewal was sent. */
    public Duration authorityDuration() {
        return lease.minus(margin);
    }
}
