package io.banyantally.internal.authority;

import io.banyantally.platform.KeyValueStore;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/** The scope owners of one process. Add each scope once; {@link #releaseAll()} is part of the drain. */
public final class ScopeOwners {

    private final KeyValueStore store;
    private final CandidateRanking ranking;
    private final ProcessIdentity self;
    private final AuthorityEnvironment environment;
    private final Map<String, ScopeOwner> owners = new ConcurrentSkipListMap<>();
    private volatile boolean releasing;

    /** Creates an empty set of owners. */
    public ScopeOwners(
            KeyValueStore store, CandidateRanking ranking, ProcessIdentity self, AuthorityEnvironment environment) {
        this.store = store;
        this.ranking = ranking;
        this.self = self;
        this.environment = environment;
    }

    /** Makes this process a candidate for a scope whose work is {@code task}. */
    public synchronized void add(Scope scope, ScopeTask task) {
        if (releasing) {
            throw new IllegalStateException("scope " + scope + " cannot be added while this process drains");
        }
        if (owners.containsKey(scope.name())) {
            throw new IllegalArgumentException("scope " + scope + " was added before; add each scope once");
        }
        ScopeOwner owner = new ScopeOwner(scope, task, store, ranking, self, environment);
        owners.put(scope.name(), owner);
        owner.start();
    }

    /** Returns whether this process may act for the scope now. */
    public boolean isOwner(Scope scope) {
        ScopeOwner owner = owners.get(scope.name());
        return owner != null && owner.isOwner();
    }

    /** Returns the scopes that this process owns now. */
    public List<Scope> owned() {
        return owners.values().stream()
                .filter(ScopeOwner::isOwner)
                .map(ScopeOwner::scope)
                .toList();
    }

    /** Returns how long {@link #releaseAll()} takes at most. */
    public Duration longestRelease() {
        // The mark is written within the rest of the lease, and the loop below looks once in each tick.
        AuthoritySettings settings = environment.settings();
        return settings.releaseLimit().plus(settings.authorityTime()).plus(settings.tick());
    }

    /**
     * Hands all scopes over and waits until this process holds none, at most {@link #longestRelease()}.
     *
     * @return whether every owner ended; the successor of one that did not waits for its lease and the takeover wait
     */
    public boolean releaseAll() throws InterruptedException {
        synchronized (this) {
            releasing = true;
        }
        owners.values().forEach(ScopeOwner::requestRelease);
        long start = environment.clock().nanoTime();
        while (!owners.values().stream().allMatch(ScopeOwner::isStopped)) {
            if (environment.clock().since(start).compareTo(longestRelease()) >= 0) {
                return false;
            }
            environment.sleeper().sleep(environment.settings().tick());
        }
        return true;
    }
}
