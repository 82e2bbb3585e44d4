package io.banyantally.standins.experiment;

/** The result of one request of a trace in one run. */
final class RequestRun {
    static final double FIRST_TOKEN_TARGET_NANOS = 1.4e9;
    static final double INTERVAL_TARGET_NANOS = 32e6;

    final TraceRequest request;
    private long firstTokenAt = -1;
    private long finishedAt = -1;
    private int delivered;
    private boolean refused;
    private boolean affectedByReclaim;
    private boolean servedByCheap;

    RequestRun(TraceRequest request) {
        this.request = request;
    }

    void firstToken(long now) {
        if (firstTokenAt < 0) {
            firstTokenAt = now;
        }
    }

    void finish(long now, boolean cheap) {
        finishedAt = now;
        servedByCheap = cheap;
    }

    void refuse() {
        refused = true;
    }

    /** Adds tokens that the caller has received from an engine that the request leaves. */
    void delivered(int tokens) {
        delivered += tokens;
    }

    int delivered() {
        return delivered;
    }

    /** Discards the answer so far, as the caller has to send the request again. */
    void restart() {
        firstTokenAt = -1;
        delivered = 0;
    }

    void markReclaimed() {
        affectedByReclaim = true;
    }

    boolean started() {
        return firstTokenAt >= 0;
    }

    boolean isRefused() {
        return refused;
    }

    boolean isServedByCheap() {
        return servedByCheap;
    }

    boolean isFinished() {
        return finishedAt >= 0;
    }

    double firstTokenNanos() {
        return firstTokenAt - request.arrivalNanos();
    }

    double intervalNanos() {
        return (double) (finishedAt - firstTokenAt) / Math.max(1, request.outputTokens() - 1);
    }

    boolean isGood() {
        return isFinished()
                && firstTokenNanos() <= FIRST_TOKEN_TARGET_NANOS
                && intervalNanos() <= INTERVAL_TARGET_NANOS;
    }

    /** Returns whether a reclaim affected the request and it missed its targets. */
    boolean isHarmed() {
        return affectedByReclaim && !isGood();
    }
}
