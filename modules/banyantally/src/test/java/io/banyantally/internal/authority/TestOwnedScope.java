package io.banyantally.internal.authority;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.util.Optional;

/** An ownership without leases, for tests of other packages: the test decides who owns the scope and when that ends. */
public final class TestOwnedScope implements OwnedScope {

    private static final int TRIES = 5;

    private final Scope scope;
    private final KeyValueStore store;
    private ScopeRecord record;
    private StoreRevision revision = StoreRevision.ABSENT;
    private long attempts;
    private boolean granted = true;

    private TestOwnedScope(Scope scope, KeyValueStore store) {
        this.scope = scope;
        this.store = store;
    }

    /** Takes a scope over under the next fencing number; empty if the service can't be reached. */
    public static Optional<TestOwnedScope> takeOver(
            Scope scope, KeyValueStore store, VmId vm, Incarnation incarnation) {
        TestOwnedScope owned = new TestOwnedScope(scope, store);
        try {
            Optional<VersionedValue> present = store.get(StoreKeys.record(scope));
            ScopeRecord before = present.isEmpty()
                    ? new ScopeRecord(FencingNumber.NONE, vm, incarnation, 0, 0, false, new byte[0])
                    : ScopeRecord.decode(present.get().value());
            owned.record = new ScopeRecord(
                    before.fencingNumber().next(), vm, incarnation, 1, before.sequence(), false, before.payload());
            owned.attempts = 1;
            owned.revision = store.compareAndSwap(
                    StoreKeys.record(scope),
                    present.map(VersionedValue::revision).orElse(StoreRevision.ABSENT),
                    owned.record.encode());
            return Optional.of(owned);
        } catch (StoreException failure) {
            return Optional.empty();
        }
    }

    /** Ends the authority as this owner sees it; a paused owner is left as it is. */
    public void end() {
        granted = false;
    }

    @Override
    public Scope scope() {
        return scope;
    }

    @Override
    public FencingNumber fencingNumber() {
        return record.fencingNumber();
    }

    @Override
    public boolean isGranted() {
        return granted;
    }

    @Override
    public long sequence() {
        return record.sequence();
    }

    @Override
    public byte[] payload() {
        return record.payload();
    }

    @Override
    public void write(long sequence, byte[] payload) throws AuthorityLostException {
        ScopeRecord next = record.next(++attempts, sequence, payload);
        for (int attempt = 0; attempt < TRIES; attempt++) {
            try {
                revision = store.compareAndSwap(StoreKeys.record(scope), revision, next.encode());
                record = next;
                return;
            } catch (RevisionConflictException conflict) {
                if (!isOwnWrite(next)) {
                    throw lost("another owner wrote", conflict);
                }
                return;
            } catch (OutcomeUnknownException unknown) {
                if (isOwnWrite(next)) {
                    return;
                }
            } catch (StoreException unavailable) {
                // Tried again, a few times.
            }
        }
        throw lost("the outcome of a write is unknown", null);
    }

    private boolean isOwnWrite(ScopeRecord next) {
        try {
            Optional<VersionedValue> present = store.get(StoreKeys.record(scope));
            if (present.isPresent() && ScopeRecord.decode(present.get().value()).isSameWrite(next)) {
                revision = present.get().revision();
                record = next;
                return true;
            }
            return false;
        } catch (StoreException unreadable) {
            return false;
        }
    }

    private AuthorityLostException lost(String reason, Exception cause) {
        granted = false;
        return new AuthorityLostException(scope + ": " + reason, cause);
    }

    @Override
    public void setOutcomesKnown(boolean known) {}

    @Override
    public void abandon(String reason) {
        granted = false;
    }
}
