package io.banyantally.internal.orders;

/** The kind of a call to the platform's interface for ordering upstreams. */
enum UpstreamAction {
    /** Orders one upstream. */
    ORDER,
    /** Gives one upstream back. */
    GIVE_BACK
}
