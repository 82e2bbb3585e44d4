package io.banyantally.testing;

/** A fault injected into a call of the key-value service. */
public enum StoreFault {
    /** The call succeeds. */
    NONE,
    /** The call has no effect, and the caller knows it. */
    UNAVAILABLE,
    /** The request is lost; the call has no effect, but the caller cannot know it. */
    LOST_REQUEST,
    /** The response is lost; the call takes effect, but the caller cannot know it. */
    LOST_ANSWER
}
