package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.Optional;

/** Keeps the newest era that the store has named in an answer to this process. */
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

    private synchronized void observe(StoreEra answered) {
        if (era.isEmpty() || answered.isAfter(era.get())) {
            LOG.info(
                    "store_era",
                    EventField.of("era", answered),
                    EventField.of("former", era.map(StoreEra::toString).orElse("none")));
            era = Optional.of(answered);
            eraKnownSince = clock.nanoTime();
        }
    }

    @Override
    public StoreListing list(String prefix) throws StoreException {
        StoreListing listing = store.list(prefix);
        observe(listing.revision().era());
        return listing;
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        StoreChanges changes = store.awaitChanges(prefix, after, wait);
        observe(changes.revision().era());
        return changes;
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        StoreRevision revision = store.apply(transaction);
        observe(revision.era());
        return revision;
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        LeaseId lease = store.grantLease(timeToLive);
        observe(lease.era());
        return lease;
    }

    @Override
    public StoreEra renewLease(LeaseId lease) throws StoreException {
        StoreEra renewedIn = store.renewLease(lease);
        observe(renewedIn);
        return renewedIn;
    }
}
