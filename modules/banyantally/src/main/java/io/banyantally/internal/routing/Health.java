package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Health of an upstream for outlier ejection. After {@value #FAILURES_TO_EJECT} consecutive failures the upstream is
 * ejected for a time that doubles with each failed return. It then is on probation, with one request at a time, until
 * {@value #SUCCESSES_TO_RECOVER} requests have succeeded.
 */
public final class Health {
    /** Two failures may be chance, or come from requests that were sent at the same time. */
    static final int FAILURES_TO_EJECT = 3;

    /** Successes on probation after which the upstream is healthy again. */
    static final int SUCCESSES_TO_RECOVER = 3;

    static final Duration INITIAL_EJECTION = Duration.ofSeconds(2);
    static final Duration MAXIMUM_EJECTION = Duration.ofSeconds(30);

    private int consecutiveFailures;
    private int probationSuccesses;
    private Duration nextEjection = INITIAL_EJECTION;
    private State state = State.HEALTHY;
    private long ejectedUntil;
    private int probationRequests;

    /** Creates the health of an upstream without failures. */
    public Health() {}

    /** Whether an upstream gets requests. */
    public enum State {
        /** Gets requests without limit. */
        HEALTHY,
        /** Gets no requests until the ejection expires. */
        EJECTED,
        /** Gets one request at a time. */
        PROBATION
    }

    /** Returns the state at {@code now}; an expired ejection becomes probation. */
    public synchronized State state(long now) {
        if (state == State.EJECTED && now >= ejectedUntil) {
            state = State.PROBATION;
            probationSuccesses = 0;
            probationRequests = 0;
        }
        return state;
    }

    /** Returns whether the upstream may get a request now. */
    public synchronized boolean accepts(long now) {
        State current = state(now);
        return current == State.HEALTHY || (current == State.PROBATION && probationRequests == 0);
    }

    /** Returns the time until which the upstream gets no request, whatever happens; empty if it may get one now. */
    public synchronized OptionalLong ejectedUntil(long now) {
        return state(now) == State.EJECTED ? OptionalLong.of(ejectedUntil) : OptionalLong.empty();
    }

    /** Returns whether the upstream is neither ejected nor on probation. */
    public synchronized boolean isHealthy() {
        return state == State.HEALTHY;
    }

    /** Records that a request was sent. */
    public synchronized void recordSent() {
        if (state == State.PROBATION) {
            probationRequests++;
        }
    }

    /** Records a success; returns whether it made the upstream healthy again. */
    public synchronized boolean recordSuccess() {
        consecutiveFailures = 0;
        if (state != State.PROBATION) {
            return false;
        }
        probationRequests = Math.max(0, probationRequests - 1);
        if (++probationSuccesses < SUCCESSES_TO_RECOVER) {
            return false;
        }
        state = State.HEALTHY;
        nextEjection = INITIAL_EJECTION;
        return true;
    }

    /**
     * Records a failure; returns whether the upstream should be ejected. The caller may still keep it, to limit
     * ejections.
     */
    public synchronized boolean recordFailure() {
        consecutiveFailures++;
        probationRequests = Math.max(0, probationRequests - 1);
        return state == State.PROBATION || (state == State.HEALTHY && consecutiveFailures >= FAILURES_TO_EJECT);
    }

    /** Ejects the upstream, for a time that doubles with each call up to {@link #MAXIMUM_EJECTION}. */
    public synchronized void eject(long now) {
        state = State.EJECTED;
        ejectedUntil = now + nextEjection.toNanos();
        nextEjection = nextEjection.multipliedBy(2);
        if (nextEjection.compareTo(MAXIMUM_EJECTION) > 0) {
            nextEjection = MAXIMUM_EJECTION;
        }
    }

    /** Records the end of a request that was neither a success nor a failure. */
    public synchronized void recordInconclusive() {
        probationRequests = Math.max(0, probationRequests - 1);
    }
}
