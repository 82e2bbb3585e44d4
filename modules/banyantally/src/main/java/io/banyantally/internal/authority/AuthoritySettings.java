package io.banyantally.internal.authority;

import java.time.Duration;

/**
 * The times of authority, all on one VM's monotonic clock; see docs/design.md, section 4.14.
 *
 * @param lease how long a lease runs after its grant or its last renewal
 * @param renewalInterval the time between two renewals
 * @param margin how much earlier than the lease the authority ends; covers clocks that run at different rates
 * @param takeoverWait how long a successor waits before its first action, unless the scope was handed over
 * @param releaseLimit how long a release waits for the outcome of the last order; longer than the takeover wait,
 *     after which an unknown outcome is settled
 * @param tick the period of the owner's own check; a longer gap shows a pause
 * @param pauseThreshold the gap between two ticks that is reported as a pause
 * @param watchTimeout how long one watch of a lease lasts; longer watches mean fewer calls
 * @param retryDelay the delay after a failed call to the key-value service, before jitter
 * @param candidacyDelay how much later each further candidate tries to acquire a vacant scope
 * @param candidates how many VMs watch the lease of a scope, its owner among them
 */
public record AuthoritySettings(
        Duration lease,
        Duration renewalInterval,
        Duration margin,
        Duration takeoverWait,
        Duration releaseLimit,
        Duration tick,
        Duration pauseThreshold,
        Duration watchTimeout,
        Duration retryDelay,
        Duration candidacyDelay,
        int candidates) {

    /** The values of the design. Three candidates survive the loss of any two VMs without a change of the peers' view. */
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

    /** Rejects times with which an owner could not renew before its authority ends. */
    public AuthoritySettings {
        if (lease.minus(margin).compareTo(renewalInterval.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException("lease " + lease + " less margin " + margin
                    + " does not leave time for two renewals every " + renewalInterval + "; use a longer lease");
        }
        if (tick.compareTo(renewalInterval) > 0) {
            throw new IllegalArgumentException(
                    "tick " + tick + " is longer than the renewal interval " + renewalInterval + "; use a shorter one");
        }
        if (candidates < 1) {
            throw new IllegalArgumentException("candidates " + candidates + " is too small; use 1 or more");
        }
    }

    /** Returns how long authority lasts after the time read before a grant or renewal was sent. */
    public Duration authorityTime() {
        return lease.minus(margin);
    }
}
