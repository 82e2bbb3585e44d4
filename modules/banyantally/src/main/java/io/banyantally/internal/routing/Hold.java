package io.banyantally.internal.routing;

/**
 * The latest word of a scope's owner on an upstream.
 *
 * @param expiresAt this VM's monotonic clock when the hold ends unless it is renewed
 */
record Hold(long fencingNumber, long sequence, boolean held, long expiresAt) {

    /** Returns whether this word replaces {@code other}: a later owner's always, the same owner's by its sequence. */
    boolean isAfter(Hold other) {
        return fencingNumber > other.fencingNumber
                || (fencingNumber == other.fencingNumber && sequence > other.sequence);
    }

    boolean isExpired(long now) {
        return now - expiresAt >= 0;
    }
}
