package io.banyantally.internal.configuration;

/** A fault that is injected into a change or a withdrawal. */
enum InjectedFault {
    WRITER_KILLED,
    WRITER_PAUSED,
    PLATFORM_DOWN,
    PLATFORM_SLOW,
    REQUEST_LOST,
    ANSWER_LOST,
    SAME_ENTRY_RACE,
    OTHER_ENTRY_RACE,
    VM_CUT_FROM_PLATFORM,
    VM_CUT_FROM_PEERS,
    VM_CUT_FROM_ALL,
    VM_RESTARTED_WITH_OUTDATED_PEER_ONLY,
    ROSTER_CHANGES
}
