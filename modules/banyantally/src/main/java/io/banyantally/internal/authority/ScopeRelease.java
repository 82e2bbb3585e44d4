package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.platform.StoreException;
import java.time.Duration;

/** Gives a scope up while its lease runs, so that the successor need not wait. */
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
     * Waits for the task's end within the release limit and marks the scope as handed over if the outcome of every action
     * is known. Otherwise the successor waits the takeover wait.
     */
    void release(Thread thread) throws InterruptedException {
        long start = clock.nanoTime();
        Duration interruptAfter = settings.releaseLimit().minus(settings.pauseThreshold());
        boolean interrupted = false;
        while (!run.isFinished() && held.isUsable() && clock.since(start).compareTo(settings.releaseLimit()) < 0) {
            if (!interrupted && clock.since(start).compareTo(interruptAfter) >= 0) {
                // The task may be asleep for long; an action under way is cut only at the end.
                thread.interrupt();
                interrupted = true;
            }
            sleeper.sleep(settings.tick());
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
            // Without the mark the successor waits; nothing else depends on it.
        }
    }

    private void renewIfDue() {
        if (lease.sinceRenewal().compareTo(settings.renewalInterval()) < 0) {
            return;
        }
        try {
            lease.renew();
        } catch (StoreException failure) {
            // The release goes on within the time that is left.
        }
    }
}
