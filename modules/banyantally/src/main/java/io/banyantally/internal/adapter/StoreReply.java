package io.banyantally.internal.adapter;

import java.util.Optional;

/**
 * The JSON response of the key-value service.
 *
 * @param revision the revision of the value, or the key's current revision in a conflict; 0 when the key does not exist
 * @param changed whether a watch saw another revision before its timeout
 * @param number the id of the granted lease
 */
public record StoreReply(StoreOutcome outcome, long revision, Optional<byte[]> value, boolean changed, long number) {

    /** Creates the response to a request that succeeded. */
    public static StoreReply done(long revision, Optional<byte[]> value, boolean changed, long number) {
        return new StoreReply(StoreOutcome.DONE, revision, value, changed, number);
    }

    /** Creates the response to a request that had no effect. */
    public static StoreReply refused(StoreOutcome outcome, long currentRevision) {
        return new StoreReply(outcome, currentRevision, Optional.empty(), false, 0);
    }
}
