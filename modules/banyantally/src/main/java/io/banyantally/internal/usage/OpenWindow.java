package io.banyantally.internal.usage;

/**
 * The value at {@code usage/<bucket>/open}. Only the owner with the highest fencing number changes it.
 *
 * @param window the window that is open
 * @param reportedThrough the last window that, like all before it, was reported for all its accounts
 * @param fencingNumber the fencing number of the owner that wrote this value
 */
record OpenWindow(long window, long reportedThrough, long fencingNumber) {

    OpenWindow withFencingNumber(long newFencingNumber) {
        return new OpenWindow(window, reportedThrough, newFencingNumber);
    }

    OpenWindow next(long newReportedThrough) {
        return new OpenWindow(window + 1, newReportedThrough, fencingNumber);
    }
}
