package io.banyantally.standins.load;

import java.util.Formatter;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Formats a summary as a text table. */
final class SummaryTable {

    private SummaryTable() {}

    static String of(LoadSummary summary) {
        StringBuilder text = new StringBuilder();
        Formatter table = new Formatter(text, Locale.ROOT);
        table.format("%-22s %s, seed %d, %.1f s%n", "run", summary.deployment(), summary.seed(), summary.seconds());
        table.format("%-22s %d, %d complete%n", "requests", summary.requests(), summary.complete());
        table.format("%-22s %.2f a second (%d good)%n", "goodput", summary.goodput(), summary.good());
        table.format("%-22s %s%n", "refused as not run", counts(summary.refusals()));
        table.format("%-22s %s%n", "unknown", counts(summary.unknown()));
        table.format(
                "%-22s %d cut, %d wrong, %d not connected%n",
                "failed", summary.cut(), summary.wrong(), summary.notConnected());
        table.format(
                "%-22s %d ran, %d not run, %d unknown, %d without answer; %d unknown at the end%n",
                "orders",
                summary.ordersRan(),
                summary.ordersNotRun(),
                summary.ordersUnknown(),
                summary.ordersWithoutAnswer(),
                summary.ordersStillUnknown());
        table.format("%-22s %9s %9s %9s %9s %9s%n", "milliseconds", "count", "p50", "p95", "p99", "most");
        latency(table, "first token", summary.firstToken());
        latency(table, "token interval", summary.tokenInterval());
        latency(table, "call", summary.call());
        table.format("%-22s %9s %9s %9s %9s %9s%n", "client account", "share", "requests", "good", "good/s", "refused");
        for (LoadSummary.AccountSummary account : summary.accounts()) {
            table.format(
                    "%-22s %9.2f %9d %9d %9.2f %9d%n",
                    account.account(),
                    account.share(),
                    account.requests(),
                    account.good(),
                    account.goodput(),
                    account.refused());
        }
        return text.toString();
    }

    private static void latency(Formatter table, String name, LoadSummary.Latency latency) {
        table.format(
                "%-22s %9d %9.1f %9.1f %9.1f %9.1f%n",
                name, latency.count(), latency.p50(), latency.p95(), latency.p99(), latency.most());
    }

    private static String counts(List<LoadSummary.Count> counts) {
        return counts.isEmpty()
                ? "none"
                : counts.stream()
                        .map(count -> count.type() + " " + count.count())
                        .collect(Collectors.joining(", "));
    }
}
