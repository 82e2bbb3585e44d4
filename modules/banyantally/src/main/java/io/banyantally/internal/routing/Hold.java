package io.banyantally.internal.routing;

/**
 * The state of a hold on an upstream: while it lasts, no VM sends new work there. Set by the owner of a scope while it
 * changes the upstream or gives it back.
 *
 * @param held false if the owner has ended the hold
 * @param expiresAt when the hold ends unless it is renewed, on this VM's monotonic clock, in nanoseconds
 */
record Hold(long fencingNumber, long sequence, boolean held, long expiresAt) {

    /**
     * Returns whether this state is newer than {@code other}: set by a later owner, or by the same one with a higher
     * sequence.
     */
    boolean supersedes(Hold other) {
        return fencingNumber > other.fencingNumber
                || (fencingNumber == other.fencingNumber && sequence > other.sequence);
    }

    boolean isExpired(long now) {
        return now - expiresAt >= 0;
    }
}
