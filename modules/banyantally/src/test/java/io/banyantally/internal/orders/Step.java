package io.banyantally.internal.orders;

/** The steps of a process at which the simulation may inject a fault. */
enum Step {
    GRANT,
    CREATE_LEASE_KEY,
    WAIT,
    READ_RECORD,
    WRITE_RECORD,
    INTENT,
    RENEW,
    OPEN_CONNECTION,
    CHECK,
    SEND,
    CONFIRM,
    RELEASE,
    ORDER_OPEN,
    ORDER_CHECK,
    ORDER_SEND,
    ORDER_ANSWER,
    OTHER
}
