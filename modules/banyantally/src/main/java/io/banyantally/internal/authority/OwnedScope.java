package io.banyantally.internal.authority;

/** A scope that this process owns, with the record that the next owner reads. Used by one task at a time. */
public interface OwnedScope extends Authority {

    /** Returns the highest sequence number in the record; it never decreases, also across owners. */
    long sequence();

    /** Returns the part of the record that the scope's task defines; empty for a new scope. */
    byte[] payload();

    /**
     * Writes the record by compare-and-swap and waits until the outcome is known. If the response is lost, reads the
     * record back to see whether the write took effect.
     *
     * @param sequence the highest sequence number used, not lower than {@link #sequence()}
     * @throws AuthorityLostException if another owner wrote, or the authority ended before the outcome was known
     */
    void write(long sequence, byte[] payload) throws AuthorityLostException, InterruptedException;

    /**
     * Sets whether the outcome of every action is known. While it is not, a release does not mark the scope as handed
     * over, and the takeover wait applies to the next owner.
     */
    void setOutcomesKnown(boolean known);

    /** Ends the authority, for example because a receiver reported a later owner. Later calls keep the first reason. */
    void abandon(String reason);
}
