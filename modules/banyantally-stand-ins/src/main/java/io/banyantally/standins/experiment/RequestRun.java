package io.banyantally.standins.experiment;

/** What became of one request of a trace in one run. */
final class RequestRun {
    static final double FIRST_TOKEN_TARGET_NANOS = 1.4e9;
    static final double INTERVAL_TARGET_NANOS = 32e6;

    final TraceRequest request;
    private long firstTokenAt = -1;
    private long finishedAt = -1;
    private int delivered;
    private boolean refused;
    private boolean metReclaim;
    private boolean onCheap;

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
        onCheap = cheap;
    }

    void refuse() {
        refused = true;
    }

    /** Tokens that the caller already has when the request goes on at another engine. */
    void delivered(int tokens) {
        delivered += tokens;
    }

    int delivered() {
        return delivered;
    }

    /** The answer begins anew, for the caller has to ask again. */
    void startOver() {
        firstTokenAt = -1;
        delivered = 0;
    }

    void meetReclaim() {
        metReclaim = true;
    }

    boolean started() {
        return firstTokenAt >= 0;
    }

    boolean isRefused() {
        return refused;
    }

    boolean isOnCheap() {
        return onCheap;
    }

    boolean isFinished() {
        return finishedAt >= 0;
    }

    double firstTokenNanos() {
        return firstTokenAt - request.arrival();
    }

    double intervalNanos() {
        return (double) (finishedAt - firstTokenAt) / Math.max(1, request.outputTokens() - 1);
    }

    boolean isGood() {
        return isFinished()
                && firstTokenNanos() <= FIRST_TOKEN_TARGET_NANOS
                && intervalNanos() <= INTERVAL_TARGET_NANOS;
    }

    /** Returns whether a reclaim touched the request and it did not become a good one. */
    boolean isHarmed() {
        return metReclaim && !isGood();
    }
}
