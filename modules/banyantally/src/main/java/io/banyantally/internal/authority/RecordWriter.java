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
 * Writes a scope record until the outcome is known. After a lost answer the record is read back: the writer's own attempt
 * there means success, the expected revision means that the same write may be sent again.
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
     * Writes {@code record} over {@code expected} and returns its revision.
     *
     * @param mayGoOn asked before every call; the outcome stays unknown when it refuses
     * @throws RevisionConflictException if another write came first
     * @throws AuthorityLostException if {@code mayGoOn} refused
     */
    StoreRevision write(ScopeRecord record, StoreRevision expected, BooleanSupplier mayGoOn)
            throws RevisionConflictException, AuthorityLostException, InterruptedException {
        byte[] bytes = record.encode();
        boolean mayHaveHappened = false;
        while (true) {
            requireAuthority(mayGoOn);
            try {
                return store.compareAndSwap(key, expected, bytes);
            } catch (RevisionConflictException conflict) {
                if (!mayHaveHappened) {
                    throw conflict;
                }
                return recognise(record, conflict, mayGoOn);
            } catch (OutcomeUnknownException unknown) {
                mayHaveHappened = true;
            } catch (StoreException unavailable) {
                // Nothing was written by this call; an earlier one may still have been.
            }
            sleeper.sleep(retryDelay);
        }
    }

    private StoreRevision recognise(ScopeRecord record, RevisionConflictException conflict, BooleanSupplier mayGoOn)
            throws RevisionConflictException, AuthorityLostException, InterruptedException {
        while (true) {
            requireAuthority(mayGoOn);
            try {
                Optional<VersionedValue> present = store.get(key);
                if (present.isPresent()
                        && ScopeRecord.decode(present.get().value()).isSameWrite(record)) {
                    return present.get().revision();
                }
                throw conflict;
            } catch (RevisionConflictException notOurs) {
                throw notOurs;
            } catch (StoreException unavailable) {
                sleeper.sleep(retryDelay);
            }
        }
    }

    private void requireAuthority(BooleanSupplier mayGoOn) throws AuthorityLostException {
        if (!mayGoOn.getAsBoolean()) {
            throw new AuthorityLostException("the lease ended before the write of " + key + " was confirmed");
        }
    }
}
