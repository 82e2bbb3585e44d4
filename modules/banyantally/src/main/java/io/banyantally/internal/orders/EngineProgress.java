package io.banyantally.internal.orders;

/** What one ownership knows of an engine beyond the record. Times are readings of the monotonic clock. */
final class EngineProgress {

    private boolean reconciled;
    private boolean announced;
    private long nextRead;
    private boolean mayFloat;
    private long lastSequence;

    /** Creates the state after a takeover: the recorded order may or may not have taken effect. */
    EngineProgress(long now) {
        this.nextRead = now;
    }

    /** Returns whether the recorded order is confirmed or certainly did not run, so that another target may follow. */
    boolean isReconciled() {
        return reconciled;
    }

    void setReconciled(boolean value) {
        reconciled = value;
    }

    /** Returns whether routing was told to give the engine no new work. */
    boolean isAnnounced() {
        return announced;
    }

    void setAnnounced(boolean value) {
        announced = value;
    }

    boolean isDue(long now) {
        return now - nextRead >= 0;
    }

    void readAt(long time) {
        nextRead = time;
        mayFloat = false;
    }

    /** Leaves the engine alone until an order with an unknown outcome can no longer take effect. */
    void floatsUntil(long time) {
        nextRead = time;
        mayFloat = true;
    }

    /** Returns whether an order with an unknown outcome may still take effect. */
    boolean mayFloat(long now) {
        return mayFloat && !isDue(now);
    }

    long lastSequence() {
        return lastSequence;
    }

    void sent(long sequence) {
        lastSequence = sequence;
    }
}
