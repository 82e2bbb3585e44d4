package io.banyantally.internal.authority;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreUnavailableException;
import java.util.Arrays;

/**
 * The value of {@code scope/<scope>}. Only the scope's owner writes it, by compare-and-swap.
 *
 * @param attempt number of the write within its incarnation; identifies a write whose response was lost
 * @param sequence the highest sequence number assigned to an order
 * @param handedOver whether the owner stopped with the outcome of its last action known
 * @param payload data that the scope's task defines
 */
record ScopeRecord(
        FencingNumber fencingNumber,
        VmId owner,
        Incarnation incarnation,
        long attempt,
        long sequence,
        boolean handedOver,
        byte[] payload) {

    private static final MessagePackCodec<ScopeRecord> CODEC = MessagePackCodec.of(ScopeRecord.class);

    /** Copies the payload. */
    ScopeRecord {
        payload = payload.clone();
    }

    @Override
    public byte[] payload() {
        return payload.clone();
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    /** Decodes a record; an unreadable one is reported as an unavailable store, so that no VM acts on it. */
    static ScopeRecord decode(byte[] bytes) throws StoreUnavailableException {
        try {
            return CODEC.decode(bytes);
        } catch (PeerException failure) {
            throw new StoreUnavailableException("cannot decode the scope record with this version", failure);
        }
    }

    /** Returns the same record with a new attempt number, sequence and payload, not handed over. */
    ScopeRecord next(long newAttempt, long newSequence, byte[] newPayload) {
        return new ScopeRecord(fencingNumber, owner, incarnation, newAttempt, newSequence, false, newPayload);
    }

    /** Returns the same record, marked as handed over: no action of this owner is in progress. */
    ScopeRecord markHandedOver(long newAttempt) {
        return new ScopeRecord(fencingNumber, owner, incarnation, newAttempt, sequence, true, payload);
    }

    /** Returns whether both records stem from the same write of the same process. */
    boolean isSameWrite(ScopeRecord other) {
        return owner.equals(other.owner) && incarnation.equals(other.incarnation) && attempt == other.attempt;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ScopeRecord that
                && isSameWrite(that)
                && fencingNumber.equals(that.fencingNumber)
                && sequence == that.sequence
                && handedOver == that.handedOver
                && Arrays.equals(payload, that.payload);
    }

    @Override
    public int hashCode() {
        return 31 * incarnation.hashCode() + Long.hashCode(attempt);
    }
}
