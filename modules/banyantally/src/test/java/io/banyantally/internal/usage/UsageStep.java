package io.banyantally.internal.usage;

/** The steps of delivering, flushing, sealing and reporting at which a test can inject a fault. */
enum UsageStep {
    SEND_COUNTERS,
    GATHER,
    READ_OPEN,
    WRITE_OPEN,
    READ_SEALED,
    WRITE_SEALED,
    READ_FLUSH,
    WRITE_FLUSH,
    REPORT
}
