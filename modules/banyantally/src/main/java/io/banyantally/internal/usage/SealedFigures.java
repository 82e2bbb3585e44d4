package io.banyantally.internal.usage;

import io.banyantally.platform.UsageFigures;

/**
 * The figures of one account in a sealed window.
 *
 * @param late the part of {@code figures} that may have been served before the window was opened
 */
record SealedFigures(UsageFigures figures, UsageFigures late) {

    static final SealedFigures NONE = new SealedFigures(UsageFigures.ZERO, UsageFigures.ZERO);

    SealedFigures plus(UsageFigures added, boolean isLate) {
        return new SealedFigures(figures.plus(added), isLate ? late.plus(added) : late);
    }
}
