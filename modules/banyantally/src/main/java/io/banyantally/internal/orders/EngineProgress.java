package io.banyantally.internal.orders;

/** The state of an engine during one ownership that is not in the scope record. Times are monotonic, in nanoseconds. */
final class EngineProgress {

    private boolean confirmed;
    private boolean changeAnnounced;
    private long nextReadAt;
    private boolean outcomeUnknown;
    private long lastSequence;

    /** Creates the state after a takeover, when it is unknown whether the recorded order took effect. */
    EngineProgress(long now) {
        this.nextReadAt = now;
    }

    /**
     * Returns whether the recorded order took effect or was refused, so that an order with another target may follow.
     */
    boolean isConfirmed() {
        return confirmed;
    }

    void setConfirmed(boolean value) {
        confirmed = value;
    }

    /** Returns whether a change was announced to routing, which then sends the engine no new work. */
    boolean isChangeAnnounced() {
        return changeAnnounced;
    }

    void setChangeAnnounced(boolean value) {
        changeAnnounced = value;
    }

    boolean isDue(long now) {
        return now - nextReadAt >= 0;
    }

    void scheduleRead(long time) {
        nextReadAt = time;
        outcomeUnknown = false;
    }

    /** Postpones reads and orders until an order with an unknown outcome can no longer take effect. */
    void awaitOutcomeUntil(long time) {
        nextReadAt = time;
        outcomeUnknown = true;
    }

    /** Returns whether an order with an unknown outcome may still take effect. */
    boolean outcomeUnknown(long now) {
        return outcomeUnknown && !isDue(now);
    }

    long lastSequence() {
        return lastSequence;
    }

    void recordSent(long sequence) {
        lastSequence = sequence;
    }
}
