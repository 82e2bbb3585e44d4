package io.banyantally.standins.platform;

import io.banyantally.internal.adapter.UsageReportRequest;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.UsageReport;
import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Accepts usage reports and checks that repeats have the same figures. */
final class UsageHandler {

    private static final int CONFLICT = 409;

    private final ViolationLog violations;
    private final Map<Window, UsageReport> firstReports = new HashMap<>();
    private final Map<ClientAccountId, Long> highestFencingNumbers = new HashMap<>();
    private final List<LoggedUsage> log = new ArrayList<>();

    UsageHandler(ViolationLog violations) {
        this.violations = violations;
    }

    Answer handle(StandInExchange exchange) throws IOException {
        return recordReport(exchange.body(UsageReportRequest.class));
    }

    private synchronized Answer recordReport(UsageReportRequest request) {
        UsageReport report = request.report();
        long fencingNumber = request.fencingNumber().value();
        long highest = highestFencingNumbers.merge(report.account(), fencingNumber, Math::max);
        Window window = new Window(report.account(), report.window());
        UsageReport first = firstReports.putIfAbsent(window, report);
        boolean same = first == null || first.equals(report);
        log.add(new LoggedUsage(report, fencingNumber, same, first != null));
        if (!same) {
            violations.add(
                    Violation.Kind.USAGE_WINDOW_WITH_OTHER_FIGURES,
                    "window " + report.window() + " of " + report.account() + " was reported as " + first.figures()
                            + " and as " + report.figures());
            return Answer.refused(CONFLICT, "the window was reported before with other figures");
        }
        if (first == null && fencingNumber < highest) {
            violations.add(
                    Violation.Kind.USAGE_WINDOW_WITH_OLD_FENCING_NUMBER,
                    "window " + report.window() + " of " + report.account() + " has fencing number " + fencingNumber
                            + " after " + highest);
        }
        return Answer.of(report.window());
    }

    synchronized List<LoggedUsage> log() {
        return List.copyOf(log);
    }

    private record Window(ClientAccountId account, long number) {}
}
