package io.banyantally.internal.idempotency;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.util.Optional;

/** Reads and writes call records; reads a record back to find the outcome of a write whose answer was lost. */
final class ClaimWriter {

    /**
     * A claim is given up after this many writes without a known outcome, each of which may take the 500 ms of a store
     * call.
     */
    private static final int MAXIMUM_WRITES = 3;

    private static final MessagePackCodec<CallRecord> CODEC = MessagePackCodec.of(CallRecord.class);

    private final KeyValueStore store;
    private final RetentionLeases leases;

    ClaimWriter(KeyValueStore store, RetentionLeases leases) {
        this.store = store;
        this.leases = leases;
    }

    /**
     * Writes a claim if the key has the revision {@code expected}. The write is repeated after an unknown outcome,
     * which is safe: only one of the repeats can find that revision.
     *
     * @return true if the record is now this claim, false if the key holds another record
     * @throws StoreException if the claim is not known to be written; the call must never be sent under this attempt
     */
    boolean write(ActiveClaim claim, StoreRevision expected) throws StoreException {
        StoreException lastFailure = null;
        for (int writes = 0; writes < MAXIMUM_WRITES; writes++) {
            LeaseId lease = leases.leaseForNewClaim();
            try {
                claim.setLease(lease);
                claim.setRevision(store.compareAndSwap(claim.key(), expected, CODEC.encode(claim.latest()), lease));
                return true;
            } catch (LeaseLapsedException lapsed) {
                leases.discard(lease);
                lastFailure = lapsed;
            } catch (OutcomeUnknownException unknown) {
                lastFailure = unknown;
            } catch (RevisionConflictException conflict) {
                // The conflict may be with an earlier write of this loop whose answer was lost.
                return writes > 0 && isOwn(claim, read(claim.key()));
            }
            Optional<Boolean> found = confirmWrite(claim, expected);
            if (found.isPresent()) {
                return found.get();
            }
        }
        throw lastFailure;
    }

    private Optional<Boolean> confirmWrite(ActiveClaim claim, StoreRevision expected) {
        try {
            Optional<StoredCall> stored = read(claim.key());
            boolean unchanged = stored.map(StoredCall::revision)
                    .orElse(StoreRevision.ABSENT)
                    .equals(expected);
            return unchanged ? Optional.empty() : Optional.of(isOwn(claim, stored));
        } catch (StoreException unreadable) {
            return Optional.empty();
        }
    }

    private static boolean isOwn(ActiveClaim claim, Optional<StoredCall> stored) {
        Optional<StoredCall> own = stored.filter(call -> call.call().isClaimedBy(claim.id()));
        own.ifPresent(call -> claim.setRevision(call.revision()));
        return own.isPresent();
    }

    Optional<StoredCall> read(StoreKey key) throws StoreException {
        Optional<VersionedValue> value = store.get(key);
        if (value.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new StoredCall(
                    CODEC.decode(value.get().value()), value.get().revision()));
        } catch (PeerException malformed) {
            throw new StoreUnavailableException("the call record at " + key + " cannot be decoded", malformed);
        }
    }

    /**
     * Stores the outcome of a claim, unless the record no longer belongs to it.
     *
     * @return true if no further write is needed
     */
    boolean writeOutcome(ActiveClaim claim) throws StoreException {
        if (claim.revision().isEmpty()) {
            Optional<StoredCall> stored = read(claim.key());
            if (!isOwn(claim, stored)) {
                // While the key is absent, a delayed write of the claim may still take effect.
                return stored.isPresent();
            }
        }
        try {
            store.compareAndSwap(
                    claim.key(),
                    claim.revision().get(),
                    CODEC.encode(claim.latest()),
                    claim.lease().orElseThrow());
            return true;
        } catch (RevisionConflictException conflict) {
            // Either an earlier write of this outcome took effect, or the record expired, or it was claimed again after
            // this attempt had ended as not run. None of these records may be overwritten.
            return true;
        } catch (LeaseLapsedException lapsed) {
            return true;
        }
    }

    /** A record and the revision at which it was read. */
    record StoredCall(CallRecord call, StoreRevision revision) {}
}
