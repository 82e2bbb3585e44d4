package io.banyantally.testing;

import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The client of one process to a shared key-value service. Injects faults according to a plan and counts the calls. */
public final class FaultyKeyValueStore implements KeyValueStore {

    private final KeyValueStore shared;
    private final Map<StoreOperation, Integer> calls = new EnumMap<>(StoreOperation.class);
    private volatile StoreFaultPlan plan = StoreFaultPlan.NONE;

    /** Creates a client without faults to a service that several processes share. */
    public FaultyKeyValueStore(KeyValueStore shared) {
        this.shared = shared;
    }

    /** Sets the plan for the following calls. */
    public void setPlan(StoreFaultPlan newPlan) {
        plan = newPlan;
    }

    /** Returns the number of calls of one operation, failed ones included. */
    public synchronized int calls(StoreOperation operation) {
        return calls.getOrDefault(operation, 0);
    }

    @Override
    public Optional<VersionedValue> get(StoreKey key) throws StoreException {
        return call(StoreOperation.GET, Optional.of(key), () -> shared.get(key));
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        return call(
                StoreOperation.COMPARE_AND_SWAP, Optional.of(key), () -> shared.compareAndSwap(key, expected, value));
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        return call(
                StoreOperation.COMPARE_AND_SWAP,
                Optional.of(key),
                () -> shared.compareAndSwap(key, expected, value, lease));
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        return call(StoreOperation.GRANT_LEASE, Optional.empty(), () -> shared.grantLease(timeToLive));
    }

    @Override
    public void renewLease(LeaseId lease) throws StoreException {
        call(StoreOperation.RENEW_LEASE, Optional.empty(), () -> {
            shared.renewLease(lease);
            return lease;
        });
    }

    @Override
    public void revokeLease(LeaseId lease) throws StoreException {
        call(StoreOperation.REVOKE_LEASE, Optional.empty(), () -> {
            shared.revokeLease(lease);
            return lease;
        });
    }

    @Override
    public ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException {
        return call(StoreOperation.AWAIT_CHANGE, Optional.of(key), () -> shared.awaitChange(key, known, timeout));
    }

    private <T> T call(StoreOperation operation, Optional<StoreKey> key, StoreCall<T> action) throws StoreException {
        synchronized (this) {
            calls.merge(operation, 1, Integer::sum);
        }
        StoreFault fault = plan.decide(operation, key, false);
        if (fault == StoreFault.UNAVAILABLE) {
            throw new StoreUnavailableException(operation + " of " + key + " failed: injected fault");
        }
        if (fault == StoreFault.LOST_REQUEST) {
            throw new OutcomeUnknownException(operation + " of " + key + " lost: injected fault");
        }
        T result = action.run();
        plan.decide(operation, key, true);
        if (fault == StoreFault.LOST_ANSWER) {
            throw new OutcomeUnknownException("response to " + operation + " of " + key + " lost: injected fault");
        }
        return result;
    }

    @FunctionalInterface
    private interface StoreCall<T> {

        T run() throws StoreException;
    }
}
