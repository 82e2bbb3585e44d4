package io.banyantally.platform;

/** What became of an order that switches an engine to another stage. */
public enum StageOrderOutcome {
    /** The engine carries the order out. */
    ACCEPTED,
    /** The engine is in that stage. */
    ALREADY_HOLDS,
    /** The engine carries out another order, so none was sent. */
    BUSY,
    /** The engine refused, such as after another order that its report did not contain yet. */
    REFUSED;

    /** Returns whether the engine is in the stage or will be. */
    public boolean isInForce() {
        return this == ACCEPTED || this == ALREADY_HOLDS;
    }
}
