package io.banyantally.internal.usage;

import io.banyantally.platform.UsageFigures;

/** Arithmetic on usage figures, applied to each of the three numbers separately. */
final class FigureArithmetic {

    private FigureArithmetic() {}

    static UsageFigures maximum(UsageFigures one, UsageFigures other) {
        return new UsageFigures(
                Math.max(one.promptTokens(), other.promptTokens()),
                Math.max(one.outputTokens(), other.outputTokens()),
                Math.max(one.calls(), other.calls()));
    }

    /**
     * Returns {@code counted} minus {@code billed}, with 0 in place of a negative number: an outdated copy of a counter
     * may be lower than what was billed.
     */
    static UsageFigures nonNegativeDifference(UsageFigures counted, UsageFigures billed) {
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
