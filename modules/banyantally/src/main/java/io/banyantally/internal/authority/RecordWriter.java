package io.banyantally.internal.authority;

import io.banyantally.internal.time.Sleeper;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

/**
 * Writes a scope record, retrying until the outcome is known. After a lost response the same write is sent again; if
 * that conflicts, the record is read back, and the writer's own attempt number there means that the write succeeded.
 */
final class RecordWriter {

    private final KeyValueStore store;
    private final StoreKey key;
    private final Sleeper sleeper;
    private final Duration retryDelay;

    RecordWriter(KeyValueStore store, StoreKey key, Sleeper sleeper, Duration retryDelay) {
        this.store = store;
        this.key = key;
        this.sleeper = sleeper;
        this.retryDelay = retryDelay;
    }

    /**
     * Writes {@code record} if the stored revision is {@code expected}, and returns the new revision.
     *
     * @param mayContinue checked before every call to the store; if false, the outcome stays unknown
     * @throws RevisionConflictException if another write came first
     * @throws AuthorityLostException if {@code mayContinue} returned false
     */
    StoreRevision write(ScopeRecord record, StoreRevision expected, BooleanSupplier mayContinue)
            throws RevisionConflictException, AuthorityLostException, InterruptedException {
        byte[] bytes = record.encode();
        boolean mayHaveBeenWritten = false;
        while (true) {
            requireAuthority(mayContinue);
            try {
                return store.compareAndSwap(key, expected, bytes);
            } catch (RevisionConflictException conflict) {
                if (!mayHaveBeenWritten) {
                    throw conflict;
                }
                return confirmOwnWrite(record, conflict, mayContinue);
            } catch (OutcomeUnknownException unknown) {
                mayHaveBeenWritten = true;
            } catch (StoreException unavailable) {
                // This call wrote nothing; an earlier one may have succeeded.
            }
            sleeper.sleep(retryDelay);
        }
    }

    private StoreRevision confirmOwnWrite(
            ScopeRecord record, RevisionConflictException conflict, BooleanSupplier mayContinue)
            throws RevisionConflictException, AuthorityLostException, InterruptedException {
        while (true) {
            requireAuthority(mayContinue);
            try {
                Optional<VersionedValue> stored = store.get(key);
                if (stored.isPresent()
                        && ScopeRecord.decode(stored.get().value()).isSameWrite(record)) {
                    return stored.get().revision();
                }
                throw conflict;
            } catch (RevisionConflictException otherWriter) {
                throw otherWriter;
            } catch (StoreException unavailable) {
                sleeper.sleep(retryDelay);
            }
        }
    }

    private void requireAuthority(BooleanSupplier mayContinue) throws AuthorityLostException {
        if (!mayContinue.getAsBoolean()) {
            throw new AuthorityLostException("the lease ended before the write of " + key + " was confirmed");
        }
    }
}
