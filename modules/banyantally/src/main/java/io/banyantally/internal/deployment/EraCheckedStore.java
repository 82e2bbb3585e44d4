package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.HistoryDiscardedException;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps what belongs to different eras of the store apart: a watch does not go on in a later era, a lease is not renewed
 * there, and answers that arrive after one of a later era are discarded.
 */
public final class EraCheckedStore implements CoordinationStore {

    private static final EventLog LOG = EventLog.of(EraCheckedStore.class);

    private final CoordinationStore store;
    private final MonotonicClock clock;
    private Optional<StoreEra> era = Optional.empty();
    private long eraKnownSince;

    /** Creates the decorator of a store whose era is not known yet. */
    public EraCheckedStore(CoordinationStore store, MonotonicClock clock) {
        this.store = store;
        this.clock = clock;
    }

    /** Returns the newest era; empty until the store has answered. */
    public synchronized Optional<StoreEra> era() {
        return era;
    }

    /** Returns how long this process has known the newest era; zero until the store has answered. */
    public synchronized Duration eraKnownFor() {
        return era.isEmpty() ? Duration.ZERO : clock.since(eraKnownSince);
    }

    /** Records the era of an answer, and returns whether no answer of a later era was received before. */
    private synchronized boolean observe(StoreEra answered) {
        if (era.isEmpty() || answered.isAfter(era.get())) {
            LOG.info(
                    "store_era",
                    EventField.of("era", answered),
                    EventField.of("former", era.map(StoreEra::toString).orElse("none")));
            era = Optional.of(answered);
            eraKnownSince = clock.nanoTime();
        }
        return era.get().equals(answered);
    }

    @Override
    public StoreListing list(String prefix) throws StoreException {
        StoreListing listing = store.list(prefix);
        if (!observe(listing.revision().era())) {
            throw new StoreUnavailableException("the listing of " + prefix + " is of an earlier era of the store");
        }
        return listing;
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        requireCurrent(after);
        StoreChanges changes = store.awaitChanges(prefix, after, wait);
        StoreEra answered = changes.revision().era();
        if (!observe(answered) || !answered.equals(after.era())) {
            throw new HistoryDiscardedException("the store has changed its era since revision " + after);
        }
        return changes;
    }

    /** Throws if the store has answered in a later era than that of a revision. */
    public void requireCurrent(StoreRevision revision) throws HistoryDiscardedException {
        if (!isCurrent(revision.era())) {
            throw new HistoryDiscardedException("revision " + revision + " is of an earlier era of the store");
        }
    }

    private synchronized boolean isCurrent(StoreEra known) {
        return era.isEmpty() || era.get().equals(known);
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        List<LeaseId> leases = transaction.puts().stream()
                .map(StoreTransaction.Put::lease)
                .flatMap(Optional::stream)
                .toList();
        for (LeaseId lease : leases) {
            requireCurrent(lease);
        }
        StoreRevision revision = store.apply(transaction);
        if (!observe(revision.era())
                || leases.stream().anyMatch(lease -> !lease.era().equals(revision.era()))) {
            throw new OutcomeUnknownException("the era of the store changed during a transaction");
        }
        return revision;
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        LeaseId lease = store.grantLease(timeToLive);
        if (!observe(lease.era())) {
            throw new OutcomeUnknownException("lease " + lease + " is of an earlier era of the store");
        }
        return lease;
    }

    @Override
    public StoreEra renewLease(LeaseId lease) throws StoreException {
        requireCurrent(lease);
        StoreEra renewedIn = store.renewLease(lease);
        if (!observe(renewedIn)) {
            throw new OutcomeUnknownException("the renewal of lease " + lease + " was answered in an earlier era");
        }
        if (!renewedIn.equals(lease.era())) {
            throw new LeaseLapsedException("lease " + lease + " ended with its era of the store");
        }
        return renewedIn;
    }

    private void requireCurrent(LeaseId lease) throws LeaseLapsedException {
        if (!isCurrent(lease.era())) {
            throw new LeaseLapsedException("lease " + lease + " is of an earlier era of the store");
        }
    }
}
