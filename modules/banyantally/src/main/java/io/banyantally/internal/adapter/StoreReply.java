package io.banyantally.internal.adapter;

import java.util.Optional;

/**
 * The answer of the key-value service as it goes on the wire.
 *
 * @param revision the revision of the value, or the one that the key has in a conflict; 0 when it does not exist
 * @param number the lease that was granted
 */
public record StoreReply(StoreOutcome outcome, long revision, Optional<byte[]> value, boolean changed, long number) {

    /** The answer to a call that did what it should. */
    public static StoreReply done(long revision, Optional<byte[]> value, boolean changed, long number) {
        return new StoreReply(StoreOutcome.DONE, revision, value, changed, number);
    }

    /** The answer to a call that had no effect. */
    public static StoreReply refused(StoreOutcome outcome, long currentRevision) {
        return new StoreReply(outcome, currentRevision, Optional.empty(), false, 0);
    }
}
