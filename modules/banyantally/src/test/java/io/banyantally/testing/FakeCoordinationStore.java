package io.banyantally.testing;

import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
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

/** An in-memory store that can fail, lose responses and discard its history. Leases expire by the given clock. */
public final class FakeCoordinationStore implements CoordinationStore {

    private final ManualClock clock;
    private final TreeMap<StoreKey, StoreItem> items = new TreeMap<>();
    private final Map<StoreKey, LeaseId> leaseOf = new HashMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private final List<RevisedChange> history = new ArrayList<>();
    private StoreEra era = StoreEra.UNKNOWN;
    private long revision;
    private long nextLease;
    private long discardedUpTo;
    private boolean unavailable;
    private int responsesToLose;

    /** Creates an empty store. */
    public FakeCoordinationStore(ManualClock clock) {
        this.clock = clock;
    }

    /** Sets whether the store refuses all calls. */
    public synchronized void setDown(boolean newUnavailable) {
        unavailable = newUnavailable;
    }

    /** Makes the next {@code count} transactions take effect without a response. */
    public synchronized void loseAnswers(int count) {
        responsesToLose = count;
    }

    /** Discards the history of all changes so far, so that older watches fail. */
    public synchronized void discardHistory() {
        discardedUpTo = revision;
    }

    /** Returns a copy of the items, leases and counters, for {@link #returnOlder}. */
    public synchronized Copy copy() {
        removeExpired();
        return new Copy(
                new TreeMap<>(items),
                Map.copyOf(leaseOf),
                Map.copyOf(leases),
                List.copyOf(history),
                revision,
                nextLease);
    }

    /**
     * Comes back from a copy in the next era. Revisions and leases since are gone and are assigned again; the leases of
     * the copy end when they would have ended without a renewal since.
     */
    public synchronized void returnOlder(Copy copy) {
        era = new StoreEra(era.value() + 1);
        items.clear();
        items.putAll(copy.items());
        leaseOf.clear();
        leaseOf.putAll(copy.leaseOf());
        leases.clear();
        leases.putAll(copy.leases());
        history.clear();
        history.addAll(copy.history());
        revision = copy.revision();
        nextLease = copy.nextLease();
    }

    /** Writes a key without a lease, like an operator or an upstream. */
    public synchronized void write(String key, byte[] value) {
        put(new StoreKey(key), value, Optional.empty());
    }

    /** Deletes a key, like the platform. */
    public synchronized void delete(String key) {
        remove(new StoreKey(key));
    }

    /** Ends all leases immediately, as an outage can. */
    public synchronized void lapseAllLeases() {
        List.copyOf(leases.keySet()).forEach(this::removeLease);
    }

    /** Returns the value of a key; empty when it does not exist. */
    public synchronized Optional<byte[]> value(StoreKey key) {
        removeExpired();
        return Optional.ofNullable(items.get(key)).map(StoreItem::value);
    }

    /** Returns the keys that begin with a prefix. */
    public synchronized List<StoreKey> keys(String prefix) {
        removeExpired();
        return items.keySet().stream()
                .filter(key -> key.path().startsWith(prefix))
                .toList();
    }

    @Override
    public synchronized StoreListing list(String prefix) throws StoreException {
        requireAvailable();
        return new StoreListing(
                items.values().stream()
                        .filter(item -> item.key().path().startsWith(prefix))
                        .map(this::inCurrentEra)
                        .toList(),
                currentRevision());
    }

    @Override
    public synchronized StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait)
            throws StoreException {
        requireAvailable();
        if (after.value() < discardedUpTo || after.value() > revision) {
            throw new HistoryDiscardedException("no history after revision " + after);
        }
        List<StoreChange> changes = history.stream()
                .filter(entry -> entry.revision() > after.value()
                        && entry.change().key().path().startsWith(prefix))
                .map(entry -> inCurrentEra(entry.change()))
                .toList();
        return new StoreChanges(changes, currentRevision());
    }

    @Override
    public synchronized StoreRevision apply(StoreTransaction transaction) throws StoreException {
        requireAvailable();
        for (StoreTransaction.Expectation expectation : transaction.expectations()) {
            StoreItem item = items.get(expectation.key());
            StoreRevision current =
                    item == null ? StoreRevision.ABSENT : item.versioned().revision();
            if (current.value() != expectation.revision().value()) {
                throw new RevisionConflictException(
                        expectation.key(), expectation.revision(), new StoreRevision(era, current.value()));
            }
        }
        for (StoreTransaction.Put put : transaction.puts()) {
            if (put.lease().isPresent()
                    && !leases.containsKey(withoutEra(put.lease().get()))) {
                throw new LeaseLapsedException("no lease " + put.lease().get());
            }
        }
        transaction.puts().forEach(put -> put(put.key(), put.value(), put.lease()));
        transaction.deletes().forEach(this::remove);
        loseResponseIfPlanned();
        return currentRevision();
    }

    @Override
    public synchronized LeaseId grantLease(Duration timeToLive) throws StoreException {
        requireAvailable();
        LeaseId lease = new LeaseId(++nextLease);
        leases.put(lease, new Lease(timeToLive, clock.nanoTime() + timeToLive.toNanos()));
        return new LeaseId(era, lease.value());
    }

    @Override
    public synchronized StoreEra renewLease(LeaseId renewed) throws StoreException {
        requireAvailable();
        LeaseId lease = withoutEra(renewed);
        Lease known = leases.get(lease);
        if (known == null) {
            throw new LeaseLapsedException("no lease " + lease);
        }
        leases.put(
                lease,
                new Lease(
                        known.timeToLive(),
                        clock.nanoTime() + known.timeToLive().toNanos()));
        return era;
    }

    private StoreRevision currentRevision() {
        return new StoreRevision(era, revision);
    }

    private StoreItem inCurrentEra(StoreItem item) {
        VersionedValue versioned = new VersionedValue(
                item.value(), new StoreRevision(era, item.versioned().revision().value()));
        return new StoreItem(
                item.key(), versioned, new StoreRevision(era, item.created().value()));
    }

    private StoreChange inCurrentEra(StoreChange change) {
        return change instanceof StoreChange.Written written
                ? new StoreChange.Written(inCurrentEra(written.item()))
                : change;
    }

    private static LeaseId withoutEra(LeaseId lease) {
        return new LeaseId(lease.value());
    }

    private void requireAvailable() throws StoreUnavailableException {
        if (unavailable) {
            throw new StoreUnavailableException("the store is unavailable");
        }
        removeExpired();
    }

    private void loseResponseIfPlanned() throws OutcomeUnknownException {
        if (responsesToLose > 0) {
            responsesToLose--;
            throw new OutcomeUnknownException("the response was lost");
        }
    }

    private void removeExpired() {
        long now = clock.nanoTime();
        List.copyOf(leases.entrySet()).stream()
                .filter(lease -> lease.getValue().expiresAt() <= now)
                .forEach(lease -> removeLease(lease.getKey()));
    }

    private void removeLease(LeaseId lease) {
        leases.remove(lease);
        List.copyOf(leaseOf.entrySet()).stream()
                .filter(held -> held.getValue().equals(lease))
                .forEach(held -> remove(held.getKey()));
    }

    private void put(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        revision++;
        StoreItem previous = items.get(key);
        StoreRevision created = previous == null ? new StoreRevision(revision) : previous.created();
        StoreItem item = new StoreItem(key, new VersionedValue(value, new StoreRevision(revision)), created);
        items.put(key, item);
        leaseOf.remove(key);
        lease.ifPresent(held -> leaseOf.put(key, withoutEra(held)));
        history.add(new RevisedChange(revision, new StoreChange.Written(item)));
    }

    private void remove(StoreKey key) {
        if (items.remove(key) != null) {
            revision++;
            leaseOf.remove(key);
            history.add(new RevisedChange(revision, new StoreChange.Removed(key)));
        }
    }

    /** A copy of the store, which does not know of anything that happens later. */
    public record Copy(
            TreeMap<StoreKey, StoreItem> items,
            Map<StoreKey, LeaseId> leaseOf,
            Map<LeaseId, Lease> leases,
            List<RevisedChange> history,
            long revision,
            long nextLease) {}

    /** A lease and when it ends, in nanoseconds of the store's clock. */
    public record Lease(Duration timeToLive, long expiresAt) {}

    /** A change and its revision. */
    public record RevisedChange(long revision, StoreChange change) {}
}
