package io.banyantally.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Writes and deletions that are applied atomically if all keys have their expected revisions. */
public record StoreTransaction(List<Expectation> expectations, List<Put> puts, List<StoreKey> deletes) {

    /** Copies the lists. */
    public StoreTransaction {
        expectations = List.copyOf(expectations);
        puts = List.copyOf(puts);
        deletes = List.copyOf(deletes);
    }

    /** Writes a key unconditionally. */
    public static StoreTransaction put(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        return new StoreTransaction(List.of(), List.of(new Put(key, value, lease)), List.of());
    }

    /** Writes a key if it does not exist. */
    public static StoreTransaction create(StoreKey key, byte[] value, Optional<LeaseId> lease) {
        return replace(key, StoreRevision.ABSENT, value, lease);
    }

    /** Writes a key if it has the given revision. */
    public static StoreTransaction replace(
            StoreKey key, StoreRevision expected, byte[] value, Optional<LeaseId> lease) {
        return new StoreTransaction(
                List.of(new Expectation(key, expected)), List.of(new Put(key, value, lease)), List.of());
    }

    /** Deletes keys unconditionally. */
    public static StoreTransaction delete(List<StoreKey> keys) {
        return new StoreTransaction(List.of(), List.of(), keys);
    }

    /** Deletes a key if it has the given revision. */
    public static StoreTransaction delete(StoreKey key, StoreRevision revision) {
        return new StoreTransaction(List.of(new Expectation(key, revision)), List.of(), List.of(key));
    }

    /** Returns a copy with the expectations and writes of another transaction. */
    public StoreTransaction and(StoreTransaction other) {
        List<Expectation> allExpectations = new ArrayList<>(expectations);
        allExpectations.addAll(other.expectations);
        List<Put> allPuts = new ArrayList<>(puts);
        allPuts.addAll(other.puts);
        List<StoreKey> allDeletes = new ArrayList<>(deletes);
        allDeletes.addAll(other.deletes);
        return new StoreTransaction(allExpectations, allPuts, allDeletes);
    }

    /** Returns a copy with additional deletions. */
    public StoreTransaction andDelete(List<StoreKey> keys) {
        List<StoreKey> all = new ArrayList<>(deletes);
        all.addAll(keys);
        return new StoreTransaction(expectations, puts, all);
    }

    /** The revision that a key must have for the transaction to be applied. */
    public record Expectation(StoreKey key, StoreRevision revision) {}

    /**
     * A value to write; the service deletes the key when the lease ends. The bytes are copied on construction and on
     * access.
     */
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
