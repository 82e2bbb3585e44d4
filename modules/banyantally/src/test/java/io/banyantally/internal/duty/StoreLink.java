package io.banyantally.internal.duty;

import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreUnavailableException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One VM's connection to the store; it may be cut, lose responses, or deliver transactions late. */
final class StoreLink implements CoordinationStore {

    private final CoordinationStore store;
    private final List<StoreTransaction> delayed = new ArrayList<>();
    private boolean cut;
    private boolean losesResponses;
    private boolean delaysTransactions;
    private Runnable beforeRenewal = () -> {};

    StoreLink(CoordinationStore store) {
        this.store = store;
    }

    void setCut(boolean newCut) {
        cut = newCut;
    }

    void setLosesResponses(boolean newLosesResponses) {
        losesResponses = newLosesResponses;
    }

    /** Sets whether transactions have no response and take effect with {@link #deliverDelayed}. */
    void setDelaysTransactions(boolean newDelaysTransactions) {
        delaysTransactions = newDelaysTransactions;
    }

    /** Sets what happens before the store gets a renewal. */
    void setBeforeRenewal(Runnable newBeforeRenewal) {
        beforeRenewal = newBeforeRenewal;
    }

    /** Hands the delayed transactions to the store, which may refuse them. */
    void deliverDelayed() {
        List<StoreTransaction> due = List.copyOf(delayed);
        delayed.clear();
        for (StoreTransaction transaction : due) {
            try {
                StoreRevision _ = store.apply(transaction);
            } catch (StoreException refused) {
                // The VM has stopped waiting for the response.
            }
        }
    }

    @Override
    public StoreListing list(String prefix) throws StoreException {
        requireConnection();
        return store.list(prefix);
    }

    @Override
    public StoreChanges awaitChanges(String prefix, StoreRevision after, Duration wait) throws StoreException {
        requireConnection();
        return store.awaitChanges(prefix, after, wait);
    }

    @Override
    public StoreRevision apply(StoreTransaction transaction) throws StoreException {
        requireConnection();
        if (delaysTransactions) {
            delayed.add(transaction);
            throw new OutcomeUnknownException("the response is late");
        }
        return received(store.apply(transaction));
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        requireConnection();
        return received(store.grantLease(timeToLive));
    }

    @Override
    public StoreEra renewLease(LeaseId lease) throws StoreException {
        requireConnection();
        beforeRenewal.run();
        return received(store.renewLease(lease));
    }

    private <T> T received(T response) throws OutcomeUnknownException {
        if (losesResponses) {
            throw new OutcomeUnknownException("the response was lost");
        }
        return response;
    }

    private void requireConnection() throws StoreUnavailableException {
        if (cut) {
            throw new StoreUnavailableException("the VM is cut off from the store");
        }
    }
}
