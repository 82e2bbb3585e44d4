package io.banyantally.standins.platform;

/** A violated guarantee that the platform detects. */
public record Violation(Kind kind, String detail) {

    /** The kinds of violations. */
    public enum Kind {
        /** An upstream order took effect after one with a higher fencing number. */
        ORDER_WITH_OLD_FENCING_NUMBER,
        /** A usage window was reported twice with different figures. */
        USAGE_WINDOW_WITH_OTHER_FIGURES,
        /** A usage window was first reported by a superseded owner, with an old fencing number. */
        USAGE_WINDOW_WITH_OLD_FENCING_NUMBER
    }
}
