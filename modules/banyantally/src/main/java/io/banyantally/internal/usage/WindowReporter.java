package io.banyantally.internal.usage;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UsageReport;
import io.banyantally.platform.UsageReportSink;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Reports one sealed window after the other; a failed report is repeated with the same figures until it is taken. */
final class WindowReporter {

    private final UsageReportSink sink;
    private final Invariants invariants;
    private long currentWindow;
    private final Set<ClientAccountId> taken = new HashSet<>();

    WindowReporter(UsageReportSink sink, Invariants invariants) {
        this.sink = sink;
        this.invariants = invariants;
    }

    /**
     * Reports what is left of a window.
     *
     * @param sealed the record as it is stored
     * @throws PlatformException if a report was not, or may not have been, taken; the window is to be reported again
     * @throws InvariantViolationException if the authority is lost or the window is still open
     */
    void report(Authority authority, SealedWindow sealed, OpenWindow open)
            throws PlatformException, InvariantViolationException {
        if (currentWindow != sealed.window()) {
            currentWindow = sealed.window();
            taken.clear();
        }
        for (Map.Entry<ClientAccountId, SealedFigures> entry : sealed.figures().entrySet()) {
            if (taken.contains(entry.getKey())) {
                continue;
            }
            invariants.require(
                    Promise.SINGLE_USAGE_REPORT,
                    sealed.window() < open.window(),
                    () -> "window " + sealed.window() + " of " + authority.scope() + " is still open");
            if (!authority.isGranted()) {
                return;
            }
            sink.report(
                    new UsageReport(
                            entry.getKey(),
                            sealed.window(),
                            entry.getValue().figures(),
                            entry.getValue().late()),
                    authority.fencingNumber());
            taken.add(entry.getKey());
        }
    }

    /** Returns whether every account of a window was reported by this owner. */
    boolean isComplete(SealedWindow sealed) {
        return currentWindow == sealed.window()
                && taken.containsAll(sealed.figures().keySet());
    }
}
