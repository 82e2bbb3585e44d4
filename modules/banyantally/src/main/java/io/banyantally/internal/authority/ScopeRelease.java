package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.platform.StoreException;
import java.time.Duration;

/** Releases a scope while its lease is valid, so that the next owner does not have to wait. */
final class ScopeRelease {

    private final HeldScope held;
    private final ScopeLease lease;
    private final TaskRun run;
    private final AuthoritySettings settings;
    private final MonotonicClock clock;
    private final Sleeper sleeper;

    ScopeRelease(HeldScope held, ScopeLease lease, TaskRun run, AuthorityEnvironment environment) {
        this.held = held;
        this.lease = lease;
        this.run = run;
        this.settings = environment.settings();
        this.clock = environment.clock();
        this.sleeper = environment.sleeper();
    }

    /**
     * Waits at most the release limit for the task to end, and marks the scope as handed over if the outcome of every
     * action is known. Otherwise the takeover wait applies to the next owner.
     */
    void release(Thread taskThread) throws InterruptedException {
        long start = clock.nanoTime();
        Duration interruptAfter = settings.releaseLimit().minus(settings.pauseThreshold());
        boolean interrupted = false;
        while (!run.isFinished() && held.isUsable() && clock.since(start).compareTo(settings.releaseLimit()) < 0) {
            if (!interrupted && clock.since(start).compareTo(interruptAfter) >= 0) {
                // The task may be in a long sleep. Interrupted late, so that an action in progress can complete.
                taskThread.interrupt();
                interrupted = true;
            }
            sleeper.sleep(settings.checkInterval());
            renewIfDue();
        }
        if (!run.isFinished() || !held.outcomesKnown()) {
            held.abandon("released without a known outcome");
            return;
        }
        try {
            held.markHandedOver();
            held.abandon("handed over");
        } catch (AuthorityLostException lost) {
            // Without the mark the takeover wait applies to the next owner; nothing else depends on it.
        }
    }

    private void renewIfDue() {
        if (lease.timeSinceRenewal().compareTo(settings.renewalInterval()) < 0) {
            return;
        }
        try {
            lease.renew();
        } catch (StoreException failure) {
            // The release continues within the remaining time of the lease.
        }
    }
}
