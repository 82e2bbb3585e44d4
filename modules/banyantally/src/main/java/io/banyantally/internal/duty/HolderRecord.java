package io.banyantally.internal.duty;

import io.banyantally.model.VmId;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.StoreEra;

/**
 * The value of the key that names the holder of the duties.
 *
 * @param lifetime the incarnation of the process
 * @param attempt distinguishes the writes of one process
 * @param era the era of the store that granted the lease
 * @param lease the lease that holds the key
 */
record HolderRecord(VmId vm, String lifetime, int attempt, long era, long lease) {

    static HolderRecord of(VmId vm, String lifetime, int attempt, LeaseId lease) {
        return new HolderRecord(vm, lifetime, attempt, lease.era().value(), lease.value());
    }

    /** Returns whether a process wrote the record. */
    boolean isOf(VmId otherVm, String otherLifetime) {
        return vm.equals(otherVm) && lifetime.equals(otherLifetime);
    }

    /** Returns whether the record was written under a lease. */
    boolean isUnder(LeaseId other) {
        return era == other.era().value() && lease == other.value();
    }

    /** Returns whether the record is older than an era, in which its lease number may be that of another lease. */
    boolean isBefore(StoreEra other) {
        return era < other.value();
    }
}
