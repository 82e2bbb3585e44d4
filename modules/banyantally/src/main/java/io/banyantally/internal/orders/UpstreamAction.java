package io.banyantally.internal.orders;

/** What an owner asks of the interface for ordering upstreams. */
enum UpstreamAction {
    /** Orders one upstream. */
    ORDER,
    /** Gives one upstream back. */
    GIVE_BACK
}
