package io.banyantally.testing;

import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A store in memory that can be down, lose answers and forget its history. Leases lapse on the clock given. */
public final class FakeCoordinationStore implements CoordinationStore {

    private final ManualClock clock;
    private final TreeMap<StoreKey, StoreItem> items = new TreeMap<>();
    private final Map<StoreKey, LeaseId> leaseOf = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final List<Logged> history = new ArrayList<>();
    private long revision;
    private long nextLease;
    private long discardedUpTo;
    private boolean down;
    private int answersToLose;

    /** Creates an empty store. */
    public FakeCoordinationStore(ManualClock clock) {
        this.clock = clock;
    }

    /** Refuses every call from now on, or no longer. */
    public synchronized void setDown(boolean newDown) {
        down = newDown;
    }

    /** Loses the answers of the next writes, which take effect. */
    public synchronized void loseAnswers(int count) {
        answersToLose = count;
    }

    /** Forgets all changes so far. */
    public synchronized void discardHistory() {
        discardedUpTo = revision;
    }

    /** Writes as the operator or an upstream does. */
    public synchronized void write(String key, byte[] value) {
        put(new StoreKey(key), value, Optional.empty());
    }

    /** Deletes as the platform does. */
    public synchronized void delete(String key) {
        remove(new StoreKey(key));
    }

    /** Ends all leases at once, as an outage may. */
    public synchronized void lapseAllLeases() {
        List.copyOf(leases.keySet()).forEach(this::end);
    }

    /** Returns the value of a key. */
    public synchronized Optional<byte[]> value(StoreKey key) {
        lapse();
        return Optional.ofNullable(items.get(key)).map(StoreItem::value);
    }

    /** Returns the keys that begin with a prefix. */
    public synchronized List<StoreKey> keys(String prefix) {
        lapse();
        return items.keySet().stream()
                .filter(key -> key.path().startsWith(prefix))
                .toList();
    }

    @Override
    public synchronized StoreListing list(String prefix) throws StoreException {
        available();
        return new StoreListing(
                items.values().stream()
                        .filter(item -> item.key().path().startsWith(prefix))
                        .toList(),
                new StoreRevision(revision));
    }

    @Override
    public synchronized StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait)
            throws StoreException {
        available();
        if (after.value() < discardedUpTo) {
            throw new HistoryDiscardedException("no history after " + after);
        }
        List<StoreChange> changes = history.stream()
                .filter(logged -> logged.revision() > after.value()
                        && logged.change().key().path().startsWith(prefix))
                .map(Logged::change)
                .toList();
        return new StoreChanges(changes, new StoreRevision(revision));
    }

    @Override
    public synchronized StoreRevision apply(StoreTransaction transaction) throws StoreException {
        available();
        for (StoreTransaction.Expectation expectation : transaction.expectations()) {
            StoreItem item = items.get(expectation.key());
            StoreRevision current =
                    item == null ? StoreRevision.ABSENT : item.versioned().revision();
            if (!current.equals(expectation.revision())) {
                throw new RevisionConflictException(expectation.key(), expectation.revision(), current);
            }
        }
        for (StoreTransaction.Put put : transaction.puts()) {
            if (put.lease().isPresent() && !leases.containsKey(put.lease().get())) {
                throw new LeaseLapsedException("no lease " + put.lease().get());
            }
        }
        transaction.puts().forEach(put -> put(put.key(), put.value(), put.lease()));
        transaction.deletes().forEach(this::remove);
        answer();
        return new StoreRevision(revision);
    }

    @Override
    public synchronized LeaseId grantLease(Duration timeToLive) throws StoreException {
        available();
        LeaseId lease = new LeaseId(++nextLease);
        leases.put(lease, new Lease(timeToLive, clock.nanoTime() + timeToLive.toNanos()));
        return lease;
    }

    @Override
    public synchronized void renewLease(LeaseId lease) throws StoreException {
        available();
        Lease known = leases.get(lease);
        if (known == null) {
            throw new LeaseLapsedException("no lease " + lease);
        }
        leases.put(
                lease,
                new Lease(
                        known.timeToLive(),
                        clock.nanoTime() + known.timeToLive().toNanos()));
    }

    private void available() throws StoreUnavailableException {
        if (down) {
            throw new StoreUnavailableException("the store is down");
        }
        lapse();
    }

    private void answer() throws OutcomeUnknownException {
        if (answersToLose > 0) {
            answersToLose--;
            throw new OutcomeUnknownException("the answer was lost");
        }
    }

    private void lapse() {
        long now = clock.nanoTime();
        List.copyOf(leases.entrySet()).stream()
                .filter(lease -> lease.getValue().end() <= now)
                .forEach(lease -> end(lease.getKey()));
    }

    private void end(LeaseId lease) {
        leases.remove(lease);
        List.copyOf(leaseOf.entrySet()).stream()
                .filter(held -> held.getValue().equals(lease))
                .forEach(held -> remove(held.getKey()));
    }

    private void put(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        revision++;
        StoreItem former = items.get(key);
        StoreRevision created = former == null ? new StoreRevision(revision) : former.created();
        StoreItem item = new StoreItem(key, new VersionedValue(value, new StoreRevision(revision)), created);
        items.put(key, item);
        leaseOf.remove(key);
        lease.ifPresent(held -> leaseOf.put(key, held));
        history.add(new Logged(revision, new StoreChange.Written(item)));
    }

    private void remove(StoreKey key) {
        if (items.remove(key) != null) {
            revision++;
            leaseOf.remove(key);
            history.add(new Logged(revision, new StoreChange.Removed(key)));
        }
    }

    private record Lease(Duration timeToLive, long end) {}

    private record Logged(long revision, StoreChange change) {}
}
