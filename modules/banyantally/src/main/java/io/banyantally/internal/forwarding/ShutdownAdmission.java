package io.banyantally.internal.forwarding;

import java.util.OptionalLong;

/**
 * Decides which requests a VM still takes while it shuts down: those whose time limit ends before its last answers are due.
 * Callers keep using an open connection or a known address until the process is gone, so requests come until then.
 */
final class ShutdownAdmission {

    private volatile OptionalLong lastAnswer = OptionalLong.empty();
    private volatile boolean ended;

    /** From now on takes only requests whose deadline is not after {@code moment}, in monotonic nanoseconds. */
    void limitTo(long moment) {
        lastAnswer = OptionalLong.of(moment);
    }

    /** From now on takes no request. */
    void end() {
        ended = true;
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns whether a request with this deadline, in monotonic nanoseconds, may be passed on. */
    boolean takes(long deadline) {
        OptionalLong limit = lastAnswer;
        return !ended && (limit.isEmpty() || deadline - limit.getAsLong() <= 0);
    }
}
