package io.banyantally.internal.deployment;

import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;

/** Answers from a store that a test exchanges, to bring back the answers of an earlier era. */
final class SwitchedStore implements CoordinationStore {

    private CoordinationStore store;

    SwitchedStore(CoordinationStore store) {
        this.store = store;
    }

    void use(CoordinationStore other) {
        store = other;
    }

    @Override
    public StoreListing list(String prefix) throws StoreException {
        return store.list(prefix);
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        return store.awaitChanges(prefix, after, wait);
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        return store.apply(transaction);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        return store.grantLease(timeToLive);
    }

    @Override
    public StoreEra renewLease(LeaseId lease) throws StoreException {
        return store.renewLease(lease);
    }
}
