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

/**
 * Reports sealed windows one by one; a failed report is repeated with the same figures until the platform accepts it.
 */
final class WindowReporter {

    private final UsageReportSink sink;
    private final Invariants invariants;
    private long currentWindow;
    private final Set<ClientAccountId> acceptedAccounts = new HashSet<>();

    WindowReporter(UsageReportSink sink, Invariants invariants) {
        this.sink = sink;
        this.invariants = invariants;
    }

    /**
     * Reports the accounts of a window that the platform has not accepted yet.
     *
     * @param sealed the record as stored
     * @throws PlatformException if a report was not, or may not have been, accepted; call again to repeat it
     * @throws InvariantViolationException if the authority is lost or the window is still open
     */
    void report(Authority authority, SealedWindow sealed, OpenWindow open)
            throws PlatformException, InvariantViolationException {
        if (currentWindow != sealed.window()) {
            currentWindow = sealed.window();
            acceptedAccounts.clear();
        }
        for (Map.Entry<ClientAccountId, SealedFigures> entry : sealed.figures().entrySet()) {
            if (acceptedAccounts.contains(entry.getKey())) {
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
            acceptedAccounts.add(entry.getKey());
        }
    }

    /** Returns whether every account of a window was reported by this owner. */
    boolean isComplete(SealedWindow sealed) {
        return currentWindow == sealed.window()
                && acceptedAccounts.containsAll(sealed.figures().keySet());
    }
}
