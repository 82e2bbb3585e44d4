package io.banyantally.internal.usage;

/**
 * The value at {@code usage/<bucket>/open}. Only the owner with the highest fencing number changes it.
 *
 * @param window the window that is open
 * @param reportedThrough every window up to this one was reported for all its accounts
 * @param fencingNumber the number of the owner that wrote this
 */
record OpenWindow(long window, long reportedThrough, long fencingNumber) {

    OpenWindow ownedBy(long newFencingNumber) {
        return new OpenWindow(window, reportedThrough, newFencingNumber);
    }

    OpenWindow next(long newReportedThrough) {
        return new OpenWindow(window + 1, newReportedThrough, fencingNumber);
    }
}
