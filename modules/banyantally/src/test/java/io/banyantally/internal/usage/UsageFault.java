package io.banyantally.internal.usage;

/** A fault that a test injects at a {@link UsageStep}. */
enum UsageFault {
    NONE,
    KILL_BEFORE,
    KILL_AFTER,
    RESTART_AFTER,
    OWNER_REPLACED_BEFORE,
    OWNER_REPLACED_AFTER,
    CUT_LINK,
    CUT_FROM_PEERS_AND_PLATFORM,
    PLATFORM_DOWN,
    PLATFORM_SLOW,
    LOST_ANSWER,
    LOST_REQUEST,
    REPLICA_KILLED_AFTER,
    BOTH_KILLED_AFTER,
    DELIVERY_BEFORE,
    DELIVERY_AFTER
}
