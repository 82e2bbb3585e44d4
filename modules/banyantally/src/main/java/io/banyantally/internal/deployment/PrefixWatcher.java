package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.logging.Failures;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;

/**
 * Keeps a listener up to date with all items under a prefix, by one listing and then watches, each from the revision of
 * the last. A failed watch is retried from the same revision, or from a new listing if the store has discarded that
 * history.
 */
public final class PrefixWatcher implements Runnable {

    /**
     * Timeout of one watch for changes that must be known within two seconds: configurations and leaving upstreams. An
     * unresponsive connection or store is detected only after this time plus the store's call timeout, and a new call
     * has to follow.
     */
    public static final Duration SHORT_WATCH = Duration.ofMillis(800);

    /** Timeout of one watch for changes that may be known later; longer because the store limits the rate of calls. */
    public static final Duration LONG_WATCH = Duration.ofSeconds(3);

    /**
     * Timeout of the watch after a failed call: it returns past changes without waiting, so that a response is due at
     * once.
     */
    static final Duration CATCH_UP_WATCH = Duration.ZERO;

    /** Delay after a change, so that changes in quick succession take one call; the store limits the rate of calls. */
    public static final Duration BATCHING_DELAY = Duration.ofMillis(40);

    /**
     * The same in a large fleet, for changes that may be known later. All VMs of a starting fleet write their entries
     * within a second or two, and each change ends the watches of all VMs that do not know each other yet.
     */
    public static final Duration LARGE_FLEET_BATCHING_DELAY = Duration.ofMillis(400);

    /** Delay before the first retry, short because the call may have failed only with its connection. */
    static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(25);

    /** Delay between further retries; every process retries, so delays are jittered up to twice this. */
    static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private static final EventLog LOG = EventLog.of(PrefixWatcher.class);

    private final CoordinationStore store;
    private final String prefix;
    private final Duration watchTimeout;
    private final PrefixListener listener;
    private final StoreHealth health;
    private final Sleeper sleeper;
    private final Supplier<Duration> batchingDelay;

    /** Whether no watch has returned changes, or that there are none, since the last listing. */
    private boolean listedLast;

    /** Creates a watcher; {@link #run} runs until its thread is interrupted. */
    public PrefixWatcher(
            CoordinationStore store,
            String prefix,
            Duration watchTimeout,
            PrefixListener listener,
            StoreHealth health,
            Sleeper sleeper) {
        this(store, prefix, watchTimeout, listener, health, sleeper, () -> BATCHING_DELAY);
    }

    /**
     * Creates a watcher.
     *
     * @param batchingDelay returns the delay after a change
     */
    public PrefixWatcher(
            CoordinationStore store,
            String prefix,
            Duration watchTimeout,
            PrefixListener listener,
            StoreHealth health,
            Sleeper sleeper,
            Supplier<Duration> batchingDelay) {
        this.store = store;
        this.prefix = prefix;
        this.watchTimeout = watchTimeout;
        this.listener = listener;
        this.health = health;
        this.sleeper = sleeper;
        this.batchingDelay = batchingDelay;
    }

    @Override
    public void run() {
        Optional<StoreRevision> position = Optional.empty();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                position = Optional.of(advance(position));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException | Error failure) {
                // A listener that fails at one change must get the later ones.
                position = Optional.empty();
                Failures.log(LOG, "watch_listener_failed", failure, EventField.of("prefix", prefix));
                pauseUnlessInterrupted();
            }
        }
    }

    private void pauseUnlessInterrupted() {
        try {
            pause(RETRY_DELAY);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private StoreRevision advance(Optional<StoreRevision> position) throws InterruptedException {
        Optional<StoreRevision> from = position;
        Duration wait = watchTimeout;
        Duration retryDelay = FIRST_RETRY_DELAY;
        while (true) {
            try {
                return from.isEmpty() ? list() : watch(from.get(), wait);
            } catch (HistoryDiscardedException discarded) {
                health.answered();
                LOG.info(
                        "watch_restarted",
                        EventField.of("prefix", prefix),
                        EventField.of("after", from.get()),
                        EventField.of("reason", discarded.getMessage()));
                if (listedLast) {
                    // The store limits the rate of calls, and a long list takes many.
                    pause(RETRY_DELAY);
                }
                from = Optional.empty();
            } catch (StoreException failure) {
                if (Thread.currentThread().isInterrupted()) {
                    throw new InterruptedException("the thread that watches prefix " + prefix + " was interrupted");
                }
                health.failed("follow " + prefix, failure);
                pause(retryDelay);
                wait = CATCH_UP_WATCH;
                retryDelay = RETRY_DELAY;
            }
        }
    }

    private StoreRevision list() throws StoreException {
        StoreListing listing = store.list(prefix);
        listedLast = true;
        health.answered();
        listener.listed(listing);
        listener.caughtUp();
        return listing.revision();
    }

    private StoreRevision watch(StoreRevision after, Duration wait) throws StoreException, InterruptedException {
        StoreChanges changes = store.awaitChanges(prefix, after, wait);
        listedLast = false;
        health.answered();
        boolean changed = !changes.changes().isEmpty();
        if (changed) {
            listener.changed(changes);
        }
        listener.caughtUp();
        if (changed) {
            sleeper.sleep(batchingDelay.get());
        }
        return changes.revision();
    }

    private void pause(Duration minimum) throws InterruptedException {
        long nanos = minimum.toNanos();
        sleeper.sleep(Duration.ofNanos(nanos + ThreadLocalRandom.current().nextLong(nanos)));
    }
}
