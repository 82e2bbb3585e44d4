package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
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

/**
 * Keeps a listener up to date with all items under a prefix: one listing, then watches from revision to revision. A watch
 * that fails goes on from the same revision; one whose history is gone begins with a listing.
 */
public final class PrefixWatcher implements Runnable {

    /**
     * How long one watch waits for what must be known within two seconds: configurations and leaving upstreams. A
     * connection or a store that has gone silent is noticed only after this time and the store's call time, and a new call
     * has to follow.
     */
    public static final Duration SHORT_WATCH = Duration.ofMillis(800);

    /** How long one watch waits for what may be known later; the store counts calls. */
    public static final Duration LONG_WATCH = Duration.ofSeconds(3);

    /** After a failed call the next one asks for what has changed and does not wait, so that its answer is due at once. */
    static final Duration CATCH_UP_TIME = Duration.ZERO;

    /** Gathers changes that come close together into one call, since the store counts calls. */
    static final Duration GATHER_TIME = Duration.ofMillis(40);

    /** Before the first call after a failed one, which may have failed only because its connection did. */
    static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(25);

    /** Between further calls to a store that fails; every process retries, so delays are jittered up to twice this. */
    static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private static final EventLog LOG = EventLog.of(PrefixWatcher.class);

    private final CoordinationStore store;
    private final String prefix;
    private final Duration watchTime;
    private final PrefixListener listener;
    private final StoreHealth health;
    private final Sleeper sleeper;

    /** Creates a follower; {@link #run} follows until its thread is interrupted. */
    public PrefixWatcher(
            CoordinationStore store,
            String prefix,
            Duration watchTime,
            PrefixListener listener,
            StoreHealth health,
            Sleeper sleeper) {
        this.store = store;
        this.prefix = prefix;
        this.watchTime = watchTime;
        this.listener = listener;
        this.health = health;
        this.sleeper = sleeper;
    }

    @Override
    public void run() {
        Optional<StoreRevision> position = Optional.empty();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                position = Optional.of(advance(position));
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private StoreRevision advance(Optional<StoreRevision> position) throws InterruptedException {
        Optional<StoreRevision> from = position;
        Duration wait = watchTime;
        Duration retryDelay = FIRST_RETRY_DELAY;
        while (true) {
            try {
                return from.isEmpty() ? list() : watch(from.get(), wait);
            } catch (HistoryDiscardedException discarded) {
                health.answered();
                LOG.info("watch_restarted", EventField.of("prefix", prefix), EventField.of("after", from.get()));
                from = Optional.empty();
            } catch (StoreException failure) {
                if (Thread.currentThread().isInterrupted()) {
                    throw new InterruptedException("the follower of " + prefix + " is stopped");
                }
                health.failed("follow " + prefix, failure);
                pause(retryDelay);
                wait = CATCH_UP_TIME;
                retryDelay = RETRY_DELAY;
            }
        }
    }

    private StoreRevision list() throws StoreException {
        StoreListing listing = store.list(prefix);
        health.answered();
        listener.listed(listing);
        return listing.revision();
    }

    private StoreRevision watch(StoreRevision after, Duration wait) throws StoreException, InterruptedException {
        StoreChanges changes = store.awaitChanges(prefix, after, wait);
        health.answered();
        if (!changes.changes().isEmpty()) {
            listener.changed(changes);
            sleeper.sleep(GATHER_TIME);
        }
        return changes.revision();
    }

    private void pause(Duration shortest) throws InterruptedException {
        long nanos = shortest.toNanos();
        sleeper.sleep(Duration.ofNanos(nanos + ThreadLocalRandom.current().nextLong(nanos)));
    }
}
