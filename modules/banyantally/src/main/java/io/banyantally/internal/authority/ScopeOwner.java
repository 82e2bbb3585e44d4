package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Acquires, holds, hands over and gives up one scope, and runs the scope's task while this process owns it. The lease is
 * held by the thread that calls {@link #run()}; the task runs in a thread of its own, so that a slow action does not delay
 * a renewal.
 */
public final class ScopeOwner implements Runnable {

    private final Scope scope;
    private final ScopeTask task;
    private final KeyValueStore store;
    private final CandidateRanking ranking;
    private final ProcessIdentity self;
    private final AuthorityEnvironment environment;
    private final AuthoritySettings settings;
    private final MonotonicClock clock;
    private final Sleeper sleeper;
    private final Timeline timeline;
    private final ThreadFactory threads;
    private final RandomGenerator random;
    private final AtomicLong attempts = new AtomicLong();
    private final PauseDetector pauses;
    private long lastCandidacy;
    private volatile boolean releaseRequested;
    private volatile boolean stopped;
    private volatile HeldScope current;
    private volatile Thread thread;

    /** Creates the owner of a scope; {@link #run()} starts it. */
    public ScopeOwner(
            Scope scope,
            ScopeTask task,
            KeyValueStore store,
            CandidateRanking ranking,
            ProcessIdentity self,
            AuthorityEnvironment environment) {
        this.scope = scope;
        this.task = task;
        this.store = store;
        this.ranking = ranking;
        this.self = self;
        this.environment = environment;
        this.settings = environment.settings();
        this.clock = environment.clock();
        this.sleeper = environment.sleeper();
        this.timeline = environment.timeline();
        this.threads = environment.threads();
        this.random = environment.random();
        this.pauses = new PauseDetector(clock, settings.pauseThreshold());
    }

    /** Starts a thread that runs this owner. */
    public Thread start() {
        Thread started = threads.newThread(this);
        thread = started;
        started.start();
        return started;
    }

    /** Returns the scope. */
    public Scope scope() {
        return scope;
    }

    /** Asks for a release: no new action starts, the last one's outcome is awaited, the scope is handed over. */
    public void requestRelease() {
        releaseRequested = true;
        HeldScope held = current;
        Thread running = thread;
        if (held != null) {
            held.withdraw();
        } else if (running != null) {
            // Ends a watch that may last long; nothing is held that a handover would have to finish.
            running.interrupt();
        }
    }

    /** Returns whether the owner has ended and holds nothing. */
    public boolean isStopped() {
        return stopped;
    }

    /** Returns whether this process may act for the scope now. */
    public boolean isOwner() {
        HeldScope held = current;
        return held != null && held.isGranted();
    }

    @Override
    public void run() {
        try {
            while (!releaseRequested) {
                pursue();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            stopped = true;
        }
    }

    private void pursue() throws InterruptedException {
        try {
            int rank = ranking.rank(scope);
            if (rank >= settings.candidates()) {
                sleeper.sleep(withJitter(settings.pauseThreshold()));
                return;
            }
            Optional<VersionedValue> present = store.get(StoreKeys.lease(scope));
            if (present.isPresent()) {
                watch(present.get().revision());
                return;
            }
            sleeper.sleep(settings.candidacyDelay().multipliedBy(rank).plus(withJitter(settings.tick())));
            if (rank > 0 && store.get(StoreKeys.lease(scope)).isPresent()) {
                // A candidate before this one was faster; a read costs less than a grant and a write.
                return;
            }
            Optional<ScopeLease> lease = acquire();
            if (lease.isPresent()) {
                hold(lease.get());
            }
        } catch (StoreException failure) {
            sleeper.sleep(withJitter(settings.retryDelay()));
        }
    }

    /** Waits while another owner holds the lease. */
    private void watch(StoreRevision revision) throws StoreException, InterruptedException {
        StoreRevision known = revision;
        while (!releaseRequested && ranking.rank(scope) < settings.candidates()) {
            ChangeNotice notice = store.awaitChange(StoreKeys.lease(scope), known, settings.watchTimeout());
            if (Thread.interrupted()) {
                throw new InterruptedException("the watch of " + scope + " was interrupted");
            }
            if (notice.value().isEmpty()) {
                return;
            }
            known = notice.value().get().revision();
        }
    }

    /** Gets a lease and creates the scope's lease key with it; empty if another candidate came first. */
    private Optional<ScopeLease> acquire() throws StoreException, InterruptedException {
        ScopeLease lease = ScopeLease.grant(store, clock, settings);
        byte[] holder = new LeaseHolder(self.vm(), self.incarnation(), attempts.incrementAndGet()).encode();
        boolean mayHaveHappened = false;
        while (lease.isValid()) {
            try {
                store.compareAndSwap(StoreKeys.lease(scope), StoreRevision.ABSENT, holder, lease.id());
                return Optional.of(lease);
            } catch (LeaseLapsedException lapsed) {
                return Optional.empty();
            } catch (RevisionConflictException conflict) {
                if (!mayHaveHappened) {
                    return Optional.empty();
                }
                Optional<Boolean> ours = isHeldBy(holder);
                if (ours.isPresent()) {
                    return ours.get() ? Optional.of(lease) : Optional.empty();
                }
            } catch (OutcomeUnknownException unknown) {
                mayHaveHappened = true;
            } catch (StoreException unavailable) {
                // Nothing was written by this call; an earlier one may still have been.
            }
            sleeper.sleep(settings.retryDelay());
        }
        return Optional.empty();
    }

    /** Reads the lease key back after a lost answer; empty if it could not be read. */
    private Optional<Boolean> isHeldBy(byte[] holder) {
        try {
            return Optional.of(store.get(StoreKeys.lease(scope))
                    .filter(present -> Arrays.equals(present.value(), holder))
                    .isPresent());
        } catch (StoreException unavailable) {
            return Optional.empty();
        }
    }

    private void hold(ScopeLease lease) throws InterruptedException {
        HeldScope held = new HeldScope(scope, store, clock, sleeper, settings, self, attempts, lease);
        TaskRun run = new TaskRun(held, task, sleeper, settings, timeline);
        Thread worker = threads.newThread(run);
        current = held;
        worker.start();
        try {
            keep(held, lease, run);
            if (held.isUsable()) {
                new ScopeRelease(held, lease, run, environment).release(worker);
            }
        } finally {
            end(held, lease, run, worker);
        }
    }

    /** Renews the lease and watches for pauses until the authority ends or is to be given up. */
    private void keep(HeldScope held, ScopeLease lease, TaskRun run) throws InterruptedException {
        pauses.reset();
        lastCandidacy = clock.nanoTime();
        while (held.isUsable() && !run.isFinished() && !releaseRequested && isStillCandidate()) {
            sleeper.sleep(settings.tick());
            pauses.tick().ifPresent(this::recordPause);
            renewIfDue(held, lease);
        }
        held.withdraw();
    }

    /** Tolerates a changed view of the peers for one watch, so that a peer that comes and goes moves no scope. */
    private boolean isStillCandidate() {
        if (ranking.rank(scope) < settings.candidates()) {
            lastCandidacy = clock.nanoTime();
        }
        return clock.since(lastCandidacy).compareTo(settings.watchTimeout()) < 0;
    }

    private void recordPause(Duration gap) {
        timeline.record(
                EventKind.PAUSE_DETECTED, EventField.of("scope", scope), EventField.of("gapMillis", gap.toMillis()));
    }

    private void renewIfDue(HeldScope held, ScopeLease lease) {
        if (!held.isUsable() || lease.sinceRenewal().compareTo(settings.renewalInterval()) < 0) {
            return;
        }
        try {
            lease.renew();
        } catch (StoreException failure) {
            // The authority keeps its end and the next tick tries again; a lapsed lease has ended it already.
        }
        pauses.reset();
    }

    /** Waits until the task has ended, so that this process never runs two tasks of the scope at once. */
    private void end(HeldScope held, ScopeLease lease, TaskRun run, Thread worker) throws InterruptedException {
        held.abandon(held.lossReason());
        worker.interrupt();
        while (!run.isFinished()) {
            sleeper.sleep(settings.tick());
        }
        current = null;
        try {
            lease.revoke();
        } catch (StoreException unknown) {
            // A lease that could not be revoked lapses by itself.
        }
        timeline.record(
                EventKind.SCOPE_LOST,
                EventField.of("scope", scope),
                EventField.of("fencingNumber", held.fencingNumber()),
                EventField.of("reason", held.lossReason()));
    }

    private Duration withJitter(Duration duration) {
        return duration.dividedBy(2).plusNanos(random.nextLong(duration.toNanos()));
    }
}
