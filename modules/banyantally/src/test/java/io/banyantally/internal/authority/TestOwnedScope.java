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

/** An ownership without a lease, for tests of other packages: the test decides who owns the scope and until when. */
public final class TestOwnedScope implements OwnedScope {

    private static final int MAXIMUM_WRITE_ATTEMPTS = 5;

    private final Scope scope;
    private final KeyValueStore store;
    private ScopeRecord record;
    private StoreRevision revision = StoreRevision.ABSENT;
    private long attemptCount;
    private boolean granted = true;

    private TestOwnedScope(Scope scope, KeyValueStore store) {
        this.scope = scope;
        this.store = store;
    }

    /** Takes a scope over under the next fencing number; empty if the key-value service can't be reached. */
    public static Optional<TestOwnedScope> takeOver(
            Scope scope, KeyValueStore store, VmId vm, Incarnation incarnation) {
        TestOwnedScope owned = new TestOwnedScope(scope, store);
        try {
            Optional<VersionedValue> stored = store.get(StoreKeys.record(scope));
            ScopeRecord previous = stored.isEmpty()
                    ? new ScopeRecord(FencingNumber.NONE, vm, incarnation, 0, 0, false, new byte[0])
                    : ScopeRecord.decode(stored.get().value());
            owned.record = new ScopeRecord(
                    previous.fencingNumber().next(),
                    vm,
                    incarnation,
                    1,
                    previous.sequence(),
                    false,
                    previous.payload());
            owned.attemptCount = 1;
            owned.revision = store.compareAndSwap(
                    StoreKeys.record(scope),
                    stored.map(VersionedValue::revision).orElse(StoreRevision.ABSENT),
                    owned.record.encode());
            return Optional.of(owned);
        } catch (StoreException failure) {
            return Optional.empty();
        }
    }

    /** Ends the authority of this owner. Not called for a paused owner, which does not notice that its lease ended. */
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
        ScopeRecord next = record.next(++attemptCount, sequence, payload);
        for (int attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt++) {
            try {
                revision = store.compareAndSwap(StoreKeys.record(scope), revision, next.encode());
                record = next;
                return;
            } catch (RevisionConflictException conflict) {
                if (!isOwnWrite(next)) {
                    throw loseAuthority("another owner wrote", conflict);
                }
                return;
            } catch (OutcomeUnknownException unknown) {
                if (isOwnWrite(next)) {
                    return;
                }
            } catch (StoreException unavailable) {
                // Retried until the maximum number of attempts is reached.
            }
        }
        throw loseAuthority("the outcome of a write is unknown", null);
    }

    private boolean isOwnWrite(ScopeRecord next) {
        try {
            Optional<VersionedValue> stored = store.get(StoreKeys.record(scope));
            if (stored.isPresent() && ScopeRecord.decode(stored.get().value()).isSameWrite(next)) {
                revision = stored.get().revision();
                record = next;
                return true;
            }
            return false;
        } catch (StoreException unreadable) {
            return false;
        }
    }

    private AuthorityLostException loseAuthority(String reason, Exception cause) {
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
