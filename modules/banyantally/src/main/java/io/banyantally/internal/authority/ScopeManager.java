package io.banyantally.internal.authority;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.KeyValueStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Runs one {@link ScopeOwner} for each existing scope, starts and releases owners as the set of scopes changes, and
 * releases all of them on shutdown.
 */
public final class ScopeManager {

    /** How often the set of scopes is compared; a new scope waits at most this long until its owner is started. */
    static final Duration UPDATE_INTERVAL = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(ScopeManager.class);

    private final Supplier<Map<Scope, ScopeTask>> desiredScopes;
    private final KeyValueStore store;
    private final CandidateRanking ranking;
    private final ProcessIdentity self;
    private final AuthorityEnvironment environment;
    private final Map<Scope, RunningOwner> runningOwners = new HashMap<>();
    private final List<RunningOwner> releasingOwners = new ArrayList<>();
    private volatile Thread updateThread;
    private boolean stopped;

    /**
     * Creates a manager; no owner runs before {@link #start()}.
     *
     * @param desiredScopes supplies the current scopes with their tasks; a running scope keeps the task it started with
     */
    public ScopeManager(
            Supplier<Map<Scope, ScopeTask>> desiredScopes,
            KeyValueStore store,
            CandidateRanking ranking,
            ProcessIdentity self,
            AuthorityEnvironment environment) {
        this.desiredScopes = desiredScopes;
        this.store = store;
        this.ranking = ranking;
        this.self = self;
        this.environment = environment;
    }

    private record RunningOwner(ScopeOwner owner, Thread thread) {}

    /** Starts the thread that runs the owners. */
    public void start() {
        updateThread = Thread.ofVirtual().name("scope-manager").start(this::run);
    }

    private void run() {
        try {
            while (!isStopped()) {
                update();
                environment.sleeper().sleep(UPDATE_INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isStopped() {
        return stopped;
    }

    /** Starts owners for new scopes and releases those of scopes that no longer exist. */
    synchronized void update() {
        if (stopped) {
            return;
        }
        releasingOwners.removeIf(owner -> owner.owner().isStopped());
        Map<Scope, ScopeTask> current = desiredScopes.get();
        runningOwners.entrySet().removeIf(entry -> {
            boolean removed = !current.containsKey(entry.getKey());
            if (removed) {
                entry.getValue().owner().requestRelease();
                releasingOwners.add(entry.getValue());
            }
            return removed;
        });
        current.forEach(
                (scope, scopeTask) -> runningOwners.computeIfAbsent(scope, added -> startOwner(added, scopeTask)));
    }

    private RunningOwner startOwner(Scope scope, ScopeTask scopeTask) {
        ScopeOwner owner = new ScopeOwner(scope, scopeTask, store, ranking, self, environment);
        return new RunningOwner(owner, owner.start());
    }

    /** Returns the scopes that this process currently owns. */
    public synchronized List<Scope> owned() {
        return runningOwners.entrySet().stream()
                .filter(entry -> entry.getValue().owner().isOwner())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Releases all scopes: no new action starts, and scopes whose actions have all completed are handed over at once.
     * An owner that has not stopped within the limit is interrupted; its lease then expires, and the takeover wait
     * applies to the next owner.
     *
     * @return whether every scope was released within the limit
     */
    public boolean stop(Duration limit) throws InterruptedException {
        Map<Scope, RunningOwner> owners = requestReleases();
        Thread updater = updateThread;
        if (updater != null) {
            updater.interrupt();
        }
        long start = environment.clock().nanoTime();
        boolean allStopped = false;
        while (!allStopped && environment.clock().since(start).compareTo(limit) < 0) {
            allStopped =
                    owners.values().stream().allMatch(owner -> owner.owner().isStopped());
            if (!allStopped) {
                environment
                        .sleeper()
                        .sleep(environment.settings().checkInterval().dividedBy(5));
            }
        }
        owners.forEach((scope, owner) -> {
            if (!owner.owner().isStopped()) {
                LOG.warn("scope_release_unfinished", EventField.of("scope", scope));
                owner.thread().interrupt();
            }
        });
        return allStopped;
    }

    private synchronized Map<Scope, RunningOwner> requestReleases() {
        stopped = true;
        runningOwners.values().forEach(owner -> {
            // Read before the release is requested, since that ends the ownership at once.
            boolean isOwner = owner.owner().isOwner();
            owner.owner().requestRelease();
            if (!isOwner) {
                // It may block in a watch for up to 10 s and has nothing to hand over.
                owner.thread().interrupt();
            }
        });
        return Map.copyOf(runningOwners);
    }
}
