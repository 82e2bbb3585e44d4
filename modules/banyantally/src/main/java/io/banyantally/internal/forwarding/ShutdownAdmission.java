package io.banyantally.internal.forwarding;

import java.util.OptionalLong;

/**
 * Decides which requests a VM still accepts while it shuts down: those whose deadline is not after that of its last
 * responses. Callers keep using open connections and known addresses until the process ends, so requests arrive until
 * then.
 */
final class ShutdownAdmission {

    private volatile OptionalLong latestDeadline = OptionalLong.empty();
    private volatile boolean refusesAll;

    /** From now on admits only requests whose deadline is not after {@code latest}, in monotonic nanoseconds. */
    void limitDeadlinesTo(long latest) {
        latestDeadline = OptionalLong.of(latest);
    }

    /** From now on admits no request. */
    void refuseAll() {
        refusesAll = true;
    }

    boolean isRefusingAll() {
        return refusesAll;
    }

    /** Returns whether a request with this deadline, in monotonic nanoseconds, may be forwarded. */
    boolean admits(long deadline) {
        OptionalLong limit = latestDeadline;
        return !refusesAll && (limit.isEmpty() || deadline - limit.getAsLong() <= 0);
    }
}
