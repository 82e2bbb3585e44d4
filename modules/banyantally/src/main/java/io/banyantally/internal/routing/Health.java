package io.banyantally.internal.routing;

import java.time.Duration;

/**
 * Whether an upstream answers. After failures in a row it is ejected for a time that doubles with each return that fails;
 * it comes back with one request at a time until some have succeeded.
 */
public final class Health {
    /** Two failures may be chance, or requests that began together. */
    static final int FAILURES_TO_EJECT = 3;

    /** Successes, one at a time, after which a returned upstream counts as healthy. */
    static final int SUCCESSES_TO_TRUST = 3;

    static final Duration FIRST_EJECTION = Duration.ofSeconds(2);
    static final Duration LONGEST_EJECTION = Duration.ofSeconds(30);

    private int failuresInARow;
    private int probationSuccesses;
    private Duration nextEjection = FIRST_EJECTION;
    private State state = State.HEALTHY;
    private long ejectedUntil;
    private int trials;

    /** Creates the health of an upstream that is trusted. */
    public Health() {}

    /** How far an upstream is trusted. */
    public enum State {
        /** Takes requests. */
        HEALTHY,
        /** Takes none until its ejection runs out. */
        EJECTED,
        /** Takes one request at a time. */
        PROBATION
    }

    /** Returns the state now; an ejection that has run out becomes probation. */
    public synchronized State state(long now) {
        if (state == State.EJECTED && now >= ejectedUntil) {
            state = State.PROBATION;
            probationSuccesses = 0;
            trials = 0;
        }
        return state;
    }

    /** Returns whether a request may go there now, apart from the cap on ejections. */
    public synchronized boolean accepts(long now) {
        State current = state(now);
        return current == State.HEALTHY || (current == State.PROBATION && trials == 0);
    }

    /** Returns whether the upstream is neither ejected nor on probation. */
    public synchronized boolean isHealthy() {
        return state == State.HEALTHY;
    }

    /** Counts a request that was sent. */
    public synchronized void sent() {
        if (state == State.PROBATION) {
            trials++;
        }
    }

    /** Counts a success; returns whether the upstream has become healthy by it. */
    public synchronized boolean succeeded() {
        failuresInARow = 0;
        if (state != State.PROBATION) {
            return false;
        }
        trials = Math.max(0, trials - 1);
        if (++probationSuccesses < SUCCESSES_TO_TRUST) {
            return false;
        }
        state = State.HEALTHY;
        nextEjection = FIRST_EJECTION;
        return true;
    }

    /** Counts a failure; returns whether the upstream should be ejected, which the cap may forbid. */
    public synchronized boolean failed() {
        failuresInARow++;
        trials = Math.max(0, trials - 1);
        return state == State.PROBATION || (state == State.HEALTHY && failuresInARow >= FAILURES_TO_EJECT);
    }

    /** Takes the upstream out for a time that doubles with each call. */
    public synchronized void eject(long now) {
        state = State.EJECTED;
        ejectedUntil = now + nextEjection.toNanos();
        nextEjection = nextEjection.multipliedBy(2);
        if (nextEjection.compareTo(LONGEST_EJECTION) > 0) {
            nextEjection = LONGEST_EJECTION;
        }
    }

    /** A request that was neither a success nor a failure has ended. */
    public synchronized void recordInconclusive() {
        trials = Math.max(0, trials - 1);
    }
}
