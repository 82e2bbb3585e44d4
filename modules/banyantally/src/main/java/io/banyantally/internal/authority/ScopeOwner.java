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
 * Competes for one scope, and runs the scope's task while this process owns it. The thread that calls {@link #run()}
 * acquires, renews and releases the lease; the task runs in a thread of its own, so that a slow action does not delay a
 * renewal.
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
    private final AtomicLong attemptCounter = new AtomicLong();
    private final PauseDetector pauseDetector;
    private long lastCandidateNanos;
    private volatile boolean releaseRequested;
    private volatile boolean stopped;
    private volatile HeldScope heldScope;
    private volatile Thread thread;

    /** Creates the owner of a scope; {@link #start()} or {@link #run()} starts it. */
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
        this.pauseDetector = new PauseDetector(clock, settings.pauseThreshold());
    }

    /** Starts a thread that runs this owner. */
    public Thread start() {
        Thread started = threads.newThread(this);
        thread = started;
        started.start();
        return started;
    }

    /** Returns the scope that this owner competes for. */
    public Scope scope() {
        return scope;
    }

    /** Requests a release: no new action starts, the outcome of the last one is awaited, the scope is handed over. */
    public void requestRelease() {
        releaseRequested = true;
        HeldScope held = heldScope;
        Thread running = thread;
        if (held != null) {
            held.withdraw();
        } else if (running != null) {
            // Ends a watch that may block for long; without the scope there is nothing to hand over.
            running.interrupt();
        }
    }

    /** Returns whether the owner's thread has ended and the scope is no longer held. */
    public boolean isStopped() {
        return stopped;
    }

    /** Returns whether this process may currently act for the scope. */
    public boolean isOwner() {
        HeldScope held = heldScope;
        return held != null && held.isGranted();
    }

    @Override
    public void run() {
        try {
            while (!releaseRequested) {
                competeForScope();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            stopped = true;
        }
    }

    private void competeForScope() throws InterruptedException {
        try {
            int rank = ranking.rank(scope);
            if (rank >= settings.candidates()) {
                sleeper.sleep(withJitter(settings.pauseThreshold()));
                return;
            }
            Optional<VersionedValue> leaseValue = store.get(StoreKeys.lease(scope));
            if (leaseValue.isPresent()) {
                watchLease(leaseValue.get().revision());
                return;
            }
            sleeper.sleep(settings.candidacyDelay().multipliedBy(rank).plus(withJitter(settings.checkInterval())));
            if (rank > 0 && store.get(StoreKeys.lease(scope)).isPresent()) {
                // A higher-ranked candidate was first; this read is cheaper than a grant and a failed write.
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

    /** Blocks while another owner holds the lease and this VM remains a candidate. */
    private void watchLease(StoreRevision revision) throws StoreException, InterruptedException {
        StoreRevision lastRevision = revision;
        while (!releaseRequested && ranking.rank(scope) < settings.candidates()) {
            ChangeNotice notice = store.awaitChange(StoreKeys.lease(scope), lastRevision, settings.watchTimeout());
            if (Thread.interrupted()) {
                throw new InterruptedException("the watch of " + scope + " was interrupted");
            }
            if (notice.value().isEmpty()) {
                return;
            }
            lastRevision = notice.value().get().revision();
        }
    }

    /**
     * Requests a lease and creates the scope's lease key; empty if another candidate was first or the lease ran out.
     */
    private Optional<ScopeLease> acquire() throws StoreException, InterruptedException {
        ScopeLease lease = ScopeLease.grant(store, clock, settings);
        byte[] holder = new LeaseHolder(self.vm(), self.incarnation(), attemptCounter.incrementAndGet()).encode();
        boolean mayHaveBeenWritten = false;
        while (lease.isValid()) {
            try {
                store.compareAndSwap(StoreKeys.lease(scope), StoreRevision.ABSENT, holder, lease.id());
                return Optional.of(lease);
            } catch (LeaseLapsedException lapsed) {
                return Optional.empty();
            } catch (RevisionConflictException conflict) {
                if (!mayHaveBeenWritten) {
                    return Optional.empty();
                }
                Optional<Boolean> heldByThis = isHeldBy(holder);
                if (heldByThis.isPresent()) {
                    return heldByThis.get() ? Optional.of(lease) : Optional.empty();
                }
            } catch (OutcomeUnknownException unknown) {
                mayHaveBeenWritten = true;
            } catch (StoreException unavailable) {
                // This call wrote nothing; an earlier one may have succeeded.
            }
            sleeper.sleep(settings.retryDelay());
        }
        return Optional.empty();
    }

    /** Reads the lease key back after a lost response; empty if it could not be read. */
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
        HeldScope held = new HeldScope(scope, store, clock, sleeper, settings, self, attemptCounter, lease);
        TaskRun run = new TaskRun(held, task, sleeper, settings, timeline);
        Thread worker = threads.newThread(run);
        heldScope = held;
        worker.start();
        try {
            maintainLease(held, lease, run);
            if (held.isUsable()) {
                new ScopeRelease(held, lease, run, environment).release(worker);
            }
        } finally {
            endOwnership(held, lease, run, worker);
        }
    }

    /** Renews the lease and checks for pauses until the authority ends or the scope is to be released. */
    private void maintainLease(HeldScope held, ScopeLease lease, TaskRun run) throws InterruptedException {
        pauseDetector.reset();
        lastCandidateNanos = clock.nanoTime();
        while (held.isUsable() && !run.isFinished() && !releaseRequested && isStillCandidate()) {
            sleeper.sleep(settings.checkInterval());
            pauseDetector.tick().ifPresent(this::recordPause);
            renewIfDue(held, lease);
        }
        held.withdraw();
    }

    /** Tolerates a low rank for the duration of one watch, so that a brief change in the live peers moves no scope. */
    private boolean isStillCandidate() {
        if (ranking.rank(scope) < settings.candidates()) {
            lastCandidateNanos = clock.nanoTime();
        }
        return clock.since(lastCandidateNanos).compareTo(settings.watchTimeout()) < 0;
    }

    private void recordPause(Duration gap) {
        timeline.record(
                EventKind.PAUSE_DETECTED, EventField.of("scope", scope), EventField.of("gapMillis", gap.toMillis()));
    }

    private void renewIfDue(HeldScope held, ScopeLease lease) {
        if (!held.isUsable() || lease.timeSinceRenewal().compareTo(settings.renewalInterval()) < 0) {
            return;
        }
        try {
            lease.renew();
        } catch (StoreException failure) {
            // The next check retries. The authority still ends when it did before, or has ended if the lease lapsed.
        }
        pauseDetector.reset();
    }

    /** Ends the ownership and waits for the task, so that this process never runs two tasks of the scope at once. */
    private void endOwnership(HeldScope held, ScopeLease lease, TaskRun run, Thread worker)
            throws InterruptedException {
        held.abandon(held.lossReason());
        worker.interrupt();
        while (!run.isFinished()) {
            sleeper.sleep(settings.checkInterval());
        }
        heldScope = null;
        try {
            lease.revoke();
        } catch (StoreException unknown) {
            // A lease that could not be revoked expires by itself.
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
