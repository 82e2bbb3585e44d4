package io.banyantally.internal.usage;

import io.banyantally.platform.UsageFigures;

/** Arithmetic on figures, for each of the three numbers by itself. */
final class FigureArithmetic {

    private FigureArithmetic() {}

    static UsageFigures maximum(UsageFigures one, UsageFigures other) {
        return new UsageFigures(
                Math.max(one.promptTokens(), other.promptTokens()),
                Math.max(one.outputTokens(), other.outputTokens()),
                Math.max(one.calls(), other.calls()));
    }

    /** Returns what {@code counted} has beyond {@code billed}; never negative, since a counter may be known only in part. */
    static UsageFigures beyond(UsageFigures counted, UsageFigures billed) {
        return new UsageFigures(
                Math.max(0, counted.promptTokens() - billed.promptTokens()),
                Math.max(0, counted.outputTokens() - billed.outputTokens()),
                Math.max(0, counted.calls() - billed.calls()));
    }

    static boolean isZero(UsageFigures figures) {
        return figures.equals(UsageFigures.ZERO);
    }

    static long tokens(UsageFigures figures) {
        return figures.promptTokens() + figures.outputTokens();
    }
}
