package io.banyantally.testing;

/** What goes wrong with one call of the key-value service. */
public enum StoreFault {
    /** Nothing. */
    NONE,
    /** The call fails and has no effect; the caller knows it. */
    UNAVAILABLE,
    /** The call is lost before it takes effect, and the caller can't know it. */
    LOST_REQUEST,
    /** The call takes effect, but its answer is lost. */
    LOST_ANSWER
}
