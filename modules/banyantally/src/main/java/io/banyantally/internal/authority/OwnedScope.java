package io.banyantally.internal.authority;

/** A scope that this process owns, with the record that its successor reads. Used by one task at a time. */
public interface OwnedScope extends Authority {

    /** Returns the highest sequence number that the record holds; it never falls, whoever the owner is. */
    long sequence();

    /** Returns the subsystem's part of the record; empty for a new scope. */
    byte[] payload();

    /**
     * Writes the record by compare-and-swap and waits until the outcome is known. A lost answer is read back and
     * recognised.
     *
     * @param sequence the highest sequence number used, not lower than {@link #sequence()}
     * @throws AuthorityLostException if another owner wrote, or the authority ended before the outcome was known
     */
    void write(long sequence, byte[] payload) throws AuthorityLostException, InterruptedException;

    /**
     * States whether the outcome of every action is known. While it is not, a release does not mark the scope as handed
     * over, so that the successor waits.
     */
    void setOutcomesKnown(boolean known);

    /** Ends the authority because a receiver showed that there is a later owner. */
    void abandon(String reason);
}
