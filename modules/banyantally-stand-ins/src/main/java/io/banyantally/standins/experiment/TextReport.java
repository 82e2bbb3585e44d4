package io.banyantally.standins.experiment;

import io.banyantally.standins.experiment.Comparison.Spread;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** The table that the command prints: medians over seeds for each policy, then ratios with their spread. */
final class TextReport {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;

    private final Comparison comparison;
    private final List<Site> sites;
    private final List<Double> loads;
    private final List<PolicyKind> policies;
    private final StringBuilder text = new StringBuilder();

    TextReport(Comparison comparison, List<Site> sites, List<Double> loads, List<PolicyKind> policies) {
        this.comparison = comparison;
        this.sites = sites;
        this.loads = loads;
        this.policies = policies;
    }

    String render() {
        line(
                "Medians over seeds. ft = seconds to the first token, it = milliseconds between tokens, of ended requests;");
        line(
                "worst = part of its requests that were good, of the worst-served account; cost = per 1,000 good requests.");
        line(String.format(
                Locale.ROOT,
                "%-6s %4s %-18s %7s %7s %6s %6s %6s %6s %6s %5s %5s %5s %6s %5s %5s %6s %6s %5s",
                "site",
                "load",
                "policy",
                "offered",
                "goodput",
                "refus.",
                "ft50",
                "ft95",
                "ft99",
                "it50",
                "it95",
                "it99",
                "worst",
                "jain",
                "roles",
                "cost",
                "cheap",
                "harmed",
                ""));
        for (Site site : sites) {
            for (double load : loads) {
                for (PolicyKind policy : policies) {
                    row(site, load, policy);
                }
            }
        }
        if (policies.contains(PolicyKind.BANYANTALLY) && policies.stream().anyMatch(PolicyKind::isBaseline)) {
            ratios();
        }
        return text.toString();
    }

    private void row(Site site, double load, PolicyKind policy) {
        line(String.format(
                Locale.ROOT,
                "%-6s %4.1f %-18s %7.1f %7.2f %6.2f %6.2f %6.2f %6.2f %6.1f %5.1f %5.1f %5.2f %6.3f %5.1f %5.2f %6.2f %6.1f",
                site,
                load,
                policy.title(),
                median(site, load, policy, RunResult::offered),
                median(site, load, policy, RunResult::goodput),
                median(site, load, policy, RunResult::refusedShare),
                median(site, load, policy, result -> firstToken(result, 50)),
                median(site, load, policy, result -> firstToken(result, 95)),
                median(site, load, policy, result -> firstToken(result, 99)),
                median(site, load, policy, result -> interval(result, 50)),
                median(site, load, policy, result -> interval(result, 95)),
                median(site, load, policy, result -> interval(result, 99)),
                median(site, load, policy, RunResult::lowestGoodShare),
                median(site, load, policy, RunResult::jain),
                median(site, load, policy, RunResult::roleChanges),
                median(site, load, policy, RunResult::costPerThousandGood),
                median(site, load, policy, RunResult::cheapShare),
                median(site, load, policy, RunResult::harmed)));
    }

    private static double firstToken(RunResult result, double percentile) {
        return result.firstToken().getValueAtPercentile(percentile) / MICROS_PER_SECOND;
    }

    private static double interval(RunResult result, double percentile) {
        return result.interval().getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private double median(Site site, double load, PolicyKind policy, ToDoubleFunction<RunResult> value) {
        return comparison.spread(site, load, policy, value).median();
    }

    private void ratios() {
        line("");
        line("Ratios on the same seed and trace, against the best baseline of that seed: minimum, median, maximum");
        for (Site site : sites) {
            for (double load : loads) {
                ratio(site, load, "goodput (target >= 1.30)", comparison.ratioToBest(site, load, RunResult::goodput));
                ratio(
                        site,
                        load,
                        "worst account (>= 1.50 at 1.5)",
                        comparison.ratioToBest(site, load, RunResult::lowestGoodShare));
                ratio(
                        site,
                        load,
                        "cost per good (<= 0.80)",
                        comparison.ratioToLowest(site, load, RunResult::costPerThousandGood));
                if (policies.contains(PolicyKind.CAPPED)) {
                    ratio(
                            site,
                            load,
                            "goodput / capped outstanding",
                            comparison.ratioTo(site, load, PolicyKind.CAPPED, RunResult::goodput));
                }
                if (policies.contains(PolicyKind.NAIVE_ROLES)) {
                    ratio(site, load, "role changes / naive (<= 0.33)", comparison.roleChangeRatioToNaive(site, load));
                }
            }
            if (loads.contains(1.0) && loads.contains(1.5)) {
                ratio(site, 1.5, "goodput / at load 1.0 (>= 0.95)", comparison.goodputRatioToLoad(site, 1.5, 1.0));
            }
        }
    }

    private void ratio(Site site, double load, String name, Spread spread) {
        line(String.format(
                Locale.ROOT,
                "%-6s %4.1f %-32s %7.2f %7.2f %7.2f",
                site,
                load,
                name,
                spread.minimum(),
                spread.median(),
                spread.maximum()));
    }

    private void line(String row) {
        text.append(row.stripTrailing()).append('\n');
    }
}
