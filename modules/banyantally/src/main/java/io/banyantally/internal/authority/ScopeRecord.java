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
 * @param attempt tells apart the writes of one incarnation, so that a write whose answer was lost is recognised
 * @param sequence the highest sequence number given to an order
 * @param handedOver whether the owner stopped with the outcome of its last action known
 * @param payload the subsystem's part
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

    /** Decodes a record; one that cannot be read counts as unavailable, so that nobody acts on it. */
    static ScopeRecord decode(byte[] bytes) throws StoreUnavailableException {
        try {
            return CODEC.decode(bytes);
        } catch (PeerException failure) {
            throw new StoreUnavailableException("the scope record is not readable by this version", failure);
        }
    }

    /** Returns the same record with a new attempt number, sequence and payload, not handed over. */
    ScopeRecord next(long newAttempt, long newSequence, byte[] newPayload) {
        return new ScopeRecord(fencingNumber, owner, incarnation, newAttempt, newSequence, false, newPayload);
    }

    /** Returns the same record with the mark that no action of this owner is open. */
    ScopeRecord markHandedOver(long newAttempt) {
        return new ScopeRecord(fencingNumber, owner, incarnation, newAttempt, sequence, true, payload);
    }

    /** Returns whether both are the same write of the same process. */
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
