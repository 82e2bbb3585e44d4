package io.banyantally.internal.usage;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UsageFigures;
import io.banyantally.platform.UsageReport;
import io.banyantally.testing.StoreFault;
import java.util.HashMap;
import java.util.Map;

/** Accepts reports, and fails the test when a window is reported again with different figures. */
final class FakeReportSink {
    final Map<Key, UsageReport> reports = new HashMap<>();
    int calls;

    /** The window of one account. */
    record Key(ClientAccountId account, long window) {}

    void report(UsageVm from, UsageReport report, UsageStepListener listener) throws PlatformException {
        calls++;
        StoreFault fault = from.faultAt(UsageStep.REPORT, false, listener);
        if (fault == StoreFault.UNAVAILABLE) {
            throw new InterfaceUnavailableException("down");
        }
        if (fault == StoreFault.LOST_REQUEST) {
            throw new InterfaceOutcomeUnknownException("request lost");
        }
        UsageReport earlier = reports.putIfAbsent(new Key(report.account(), report.window()), report);
        if (earlier != null) {
            assertEquals(earlier, report, "a window was reported again with different figures");
        }
        from.faultAt(UsageStep.REPORT, true, listener);
        if (fault == StoreFault.LOST_ANSWER) {
            throw new InterfaceOutcomeUnknownException("answer lost");
        }
    }

    UsageFigures total(ClientAccountId account) {
        return reports.values().stream()
                .filter(report -> report.account().equals(account))
                .map(UsageReport::figures)
                .reduce(UsageFigures.ZERO, UsageFigures::plus);
    }
}
