package io.banyantally.internal.usage;

/**
 * Asks a VM for the counters that it holds.
 *
 * @param bucket the bucket of accounts, or {@link #ALL_BUCKETS}
 * @param window the window that is being sealed; 0 when none is
 * @param ownOnly whether only the counters of the VM's own work are asked for
 * @param heardBefore whether the VM's answer was used when the previous window was sealed
 * @param fromOrigin how many of the VM's origins to skip
 */
record GatherQuery(int bucket, long window, boolean ownOnly, boolean heardBefore, int fromOrigin) {

    static final int ALL_BUCKETS = -1;

    GatherQuery startingAt(int origin) {
        return new GatherQuery(bucket, window, ownOnly, heardBefore, origin);
    }
}
