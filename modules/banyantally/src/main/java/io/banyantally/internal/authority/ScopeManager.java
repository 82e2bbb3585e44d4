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
 * Runs one {@link ScopeOwner} for each scope that exists, adds and removes them as the set changes, and releases all of
 * them on shutdown.
 */
public final class ScopeManager {

    /** How often the set of scopes is compared; a new service waits this long for its first owner. */
    static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(ScopeManager.class);

    private final Supplier<Map<Scope, ScopeTask>> wanted;
    private final KeyValueStore store;
    private final CandidateRanking ranking;
    private final ProcessIdentity self;
    private final AuthorityEnvironment environment;
    private final Map<Scope, RunningOwner> running = new HashMap<>();
    private final List<RunningOwner> ending = new ArrayList<>();
    private volatile Thread task;
    private boolean stopped;

    /**
     * Creates a manager that runs nothing yet.
     *
     * @param wanted gives the scopes that exist now with their tasks; a running scope keeps the task it began with
     */
    public ScopeManager(
            Supplier<Map<Scope, ScopeTask>> wanted,
            KeyValueStore store,
            CandidateRanking ranking,
            ProcessIdentity self,
            AuthorityEnvironment environment) {
        this.wanted = wanted;
        this.store = store;
        this.ranking = ranking;
        this.self = self;
        this.environment = environment;
    }

    private record RunningOwner(ScopeOwner owner, Thread thread) {}

    /** Starts to run owners. */
    public void start() {
        task = Thread.ofVirtual().name("scope-manager").start(this::run);
    }

    private void run() {
        try {
            while (!isStopped()) {
                update();
                environment.sleeper().sleep(INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isStopped() {
        return stopped;
    }

    /** Adds owners of new scopes and releases those of scopes that no longer exist. */
    synchronized void update() {
        if (stopped) {
            return;
        }
        ending.removeIf(owner -> owner.owner().isStopped());
        Map<Scope, ScopeTask> present = wanted.get();
        running.entrySet().removeIf(entry -> {
            boolean gone = !present.containsKey(entry.getKey());
            if (gone) {
                entry.getValue().owner().requestRelease();
                ending.add(entry.getValue());
            }
            return gone;
        });
        present.forEach((scope, scopeTask) -> running.computeIfAbsent(scope, added -> startOwner(added, scopeTask)));
    }

    private RunningOwner startOwner(Scope scope, ScopeTask scopeTask) {
        ScopeOwner owner = new ScopeOwner(scope, scopeTask, store, ranking, self, environment);
        return new RunningOwner(owner, owner.start());
    }

    /** Returns the scopes that this process owns now. */
    public synchronized List<Scope> owned() {
        return running.entrySet().stream()
                .filter(entry -> entry.getValue().owner().isOwner())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Releases all scopes: no new action starts, and what is known to have ended is handed over at once. An owner that has
     * not ended at the limit is interrupted; its lease then lapses, and its successor waits for the takeover wait.
     *
     * @return whether every scope was released within the limit
     */
    public boolean stop(Duration limit) throws InterruptedException {
        Map<Scope, RunningOwner> owners = requestReleases();
        Thread updating = task;
        if (updating != null) {
            updating.interrupt();
        }
        long start = environment.clock().nanoTime();
        boolean allEnded = false;
        while (!allEnded && environment.clock().since(start).compareTo(limit) < 0) {
            allEnded = owners.values().stream().allMatch(owner -> owner.owner().isStopped());
            if (!allEnded) {
                environment.sleeper().sleep(environment.settings().tick().dividedBy(5));
            }
        }
        owners.forEach((scope, owner) -> {
            if (!owner.owner().isStopped()) {
                LOG.warn("scope_release_unfinished", EventField.of("scope", scope));
                owner.thread().interrupt();
            }
        });
        return allEnded;
    }

    private synchronized Map<Scope, RunningOwner> requestReleases() {
        stopped = true;
        running.values().forEach(owner -> {
            // Asked first, for a release takes the right to act away at once.
            boolean owns = owner.owner().isOwner();
            owner.owner().requestRelease();
            if (!owns) {
                // It waits in a watch of up to 10 s and holds nothing that a release would hand over.
                owner.thread().interrupt();
            }
        });
        return Map.copyOf(running);
    }
}
