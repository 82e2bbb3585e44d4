package io.banyantally.standins.experiment;

import io.banyantally.standins.experiment.SvgChart.Bar;
import io.banyantally.standins.experiment.SvgChart.Line;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** The experiment's self-contained HTML page: charts and the printed table. */
final class HtmlReport {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double MICROS_PER_MILLI = 1e3;
    private static final double PERCENTILE = 95;

    /** Bars are cut here, as a policy with hardly any good request has no meaningful cost. */
    private static final double MAXIMUM_COST_SHOWN = 2;

    private final Comparison comparison;
    private final List<Site> sites;
    private final List<Double> loads;
    private final List<PolicyKind> policies;

    HtmlReport(Comparison comparison, List<Site> sites, List<Double> loads, List<PolicyKind> policies) {
        this.comparison = comparison;
        this.sites = sites;
        this.loads = loads;
        this.policies = policies;
    }

    String render() {
        StringBuilder html = new StringBuilder("""
                <!doctype html>
                <html lang="en"><head><meta charset="utf-8"><title>Experiment</title>
                <style>body{font-family:sans-serif;margin:2em;max-width:1200px}pre{overflow-x:auto;font-size:12px}
                section{display:flex;flex-wrap:wrap;gap:16px}</style></head><body>
                <h1>Policies under load</h1>
                <p>Bars show medians over seeds; whiskers show the least and the greatest. A request is good when its
                first token came within 1.4 s and its mean token interval was at most 32 ms.</p>
                """);
        for (Site site : sites) {
            for (double load : loads) {
                charts(html, site, load);
            }
        }
        html.append("<h2>Table</h2><pre>")
                .append(new TextReport(comparison, sites, loads, policies)
                        .render()
                        .replace("&", "&amp;")
                        .replace("<", "&lt;")
                        .replace(">", "&gt;"))
                .append("</pre></body></html>\n");
        return html.toString();
    }

    private void charts(StringBuilder html, Site site, double load) {
        html.append(String.format(Locale.ROOT, "<h2>%s, load %.1f</h2><section>%n", site, load));
        html.append(bars("Good requests a second", site, load, RunResult::goodput));
        html.append(bars("Worst-served account, part good", site, load, RunResult::lowestGoodShare));
        html.append(bars("Jain index over accounts", site, load, RunResult::jain));
        html.append(bars(
                "Cost per 1,000 good requests",
                site,
                load,
                result -> Math.min(result.costPerThousandGood(), MAXIMUM_COST_SHOWN)));
        html.append(bars(
                "First token, 95th percentile, s",
                site,
                load,
                result -> result.firstToken().getValueAtPercentile(PERCENTILE) / MICROS_PER_SECOND));
        html.append(bars(
                "Token interval, 95th percentile, ms",
                site,
                load,
                result -> result.interval().getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI));
        html.append(
                SvgChart.lines("Good requests a second, first seed", RunResult.BUCKET_SECONDS, firstSeed(site, load)));
        html.append("</section>\n");
    }

    private String bars(String title, Site site, double load, ToDoubleFunction<RunResult> value) {
        List<Bar> bars = policies.stream()
                .map(policy -> new Bar(policy.title(), comparison.spread(site, load, policy, value)))
                .toList();
        return SvgChart.bars(title, bars);
    }

    private List<Line> firstSeed(Site site, double load) {
        return policies.stream()
                .map(policy ->
                        comparison.results(site, load, policy).findFirst().orElseThrow())
                .map(result -> new Line(result.policy().title(), result.goodPerBucket()))
                .toList();
    }
}
