package io.banyantally.standins.platform;

/** A broken promise that the platform can see. */
public record Violation(Kind kind, String detail) {

    /** What was broken. */
    public enum Kind {
        /** An upstream order took effect after one with a higher fencing number. */
        ORDER_WITH_OLD_FENCING_NUMBER,
        /** A usage window came twice with different figures. */
        USAGE_WINDOW_WITH_OTHER_FIGURES,
        /** A usage window came for the first time from an owner that was superseded. */
        USAGE_WINDOW_WITH_OLD_FENCING_NUMBER
    }
}
