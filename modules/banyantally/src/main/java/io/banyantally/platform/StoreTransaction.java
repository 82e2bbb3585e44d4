package io.banyantally.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Changes that are applied together if all expectations hold. */
public record StoreTransaction(List<Expectation> expectations, List<Put> puts, List<StoreKey> deletes) {

    /** Copies the lists. */
    public StoreTransaction {
        expectations = List.copyOf(expectations);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Writes a key whatever it holds. */
    public static StoreTransaction put(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        return new StoreTransaction(List.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /** Writes a key that does not exist yet. */
    public static StoreTransaction create(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        return new StoreTransaction(
                List.of(new Expectation(key, StoreRevision.ABSENT)), List.of(new Put(key, value, lease)), List.of());
    }

    /** Deletes keys. */
    public static StoreTransaction delete(List<StoreKey> keys) {
        return new StoreTransaction(List.of(), List.of(), keys);
    }

    /** Deletes a key that still has the revision. */
    public static StoreTransaction delete(StoreKey key, StoreRevision revision) {
        return new StoreTransaction(List.of(new Expectation(key, revision)), List.of(), List.of(key));
    }

    /** Returns the same changes and further deletions. */
    public StoreTransaction andDelete(List<StoreKey> keys) {
        List<StoreKey> all = new ArrayList<>(deletes);
        all.addAll(keys);
        return new StoreTransaction(expectations, puts, all);
    }

    /** Holds if the key has the revision. */
    public record Expectation(StoreKey key, StoreRevision revision) {}

    /** A value to write; the key is removed with the lease. The bytes are copied in and out. */
    public record Put(StoreKey key, byte[] value, Optional<LeaseId> lease) {

        /** Copies the bytes. */
        public Put {
            value = value.clone();
        }

        @Override
        public byte[] value() {
            return value.clone();
        }
    }
}
