package io.banyantally.standins.experiment;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/** Ratios between policies on the same site, load and seed. */
final class Comparison {
    static final Comparator<RunResult> ORDER = Comparator.<RunResult, Site>comparing(
                    result -> result.trace().site())
            .thenComparingDouble(result -> result.trace().load())
            .thenComparingLong(result -> result.trace().seed())
            .thenComparing(RunResult::policy);

    private final List<RunResult> results;

    Comparison(List<RunResult> results) {
        this.results = List.copyOf(results);
    }

    /** The minimum, median and maximum of some values. */
    record Spread(double minimum, double median, double maximum) {
        static Spread of(double[] values) {
            double[] sorted = values.clone();
            Arrays.sort(sorted);
            int half = sorted.length / 2;
            double median = sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
            return new Spread(sorted[0], median, sorted[sorted.length - 1]);
        }
    }

    Stream<RunResult> results(Site site, double load) {
        return results.stream()
                .filter(result ->
                        result.trace().site() == site && result.trace().load() == load);
    }

    Stream<RunResult> results(Site site, double load, PolicyKind policy) {
        return results(site, load).filter(result -> result.policy() == policy);
    }

    Spread spread(Site site, double load, PolicyKind policy, ToDoubleFunction<RunResult> value) {
        return Spread.of(results(site, load, policy).mapToDouble(value).toArray());
    }

    /** Returns the spread of the library's value divided by the greatest baseline value of the same seed. */
    Spread ratioToBest(Site site, double load, ToDoubleFunction<RunResult> value) {
        return Spread.of(results(site, load, PolicyKind.BANYANTALLY)
                .mapToDouble(own -> value.applyAsDouble(own)
                        / Math.max(1e-9, baselines(own).mapToDouble(value).max().orElse(Double.NaN)))
                .toArray());
    }

    /** As {@link #ratioToBest}, but divided by the lowest baseline value. */
    Spread ratioToLowest(Site site, double load, ToDoubleFunction<RunResult> value) {
        return Spread.of(results(site, load, PolicyKind.BANYANTALLY)
                .mapToDouble(own -> value.applyAsDouble(own)
                        / Math.max(1e-9, baselines(own).mapToDouble(value).min().orElse(Double.NaN)))
                .toArray());
    }

    /** Returns the spread of the library's value divided by that of another policy on the same seed. */
    Spread ratioTo(Site site, double load, PolicyKind other, ToDoubleFunction<RunResult> value) {
        return Spread.of(results(site, load, PolicyKind.BANYANTALLY)
                .mapToDouble(own -> value.applyAsDouble(own)
                        / Math.max(
                                1e-9,
                                results(site, load, other)
                                        .filter(result -> result.trace().seed()
                                                == own.trace().seed())
                                        .mapToDouble(value)
                                        .sum()))
                .toArray());
    }

    private Stream<RunResult> baselines(RunResult own) {
        return results(own.trace().site(), own.trace().load())
                .filter(result -> result.policy().isBaseline()
                        && result.trace().seed() == own.trace().seed());
    }

    /** Returns the spread of the library's role changes divided by the naive controller's on the same seed. */
    Spread roleChangeRatioToNaive(Site site, double load) {
        return Spread.of(results(site, load, PolicyKind.BANYANTALLY)
                .mapToDouble(own -> own.roleChanges()
                        / (double) Math.max(
                                1,
                                results(site, load, PolicyKind.NAIVE_ROLES)
                                        .filter(result -> result.trace().seed()
                                                == own.trace().seed())
                                        .mapToInt(RunResult::roleChanges)
                                        .sum()))
                .toArray());
    }

    /** Returns the spread of the library's goodput at one load divided by that at another, on the same seed. */
    Spread goodputRatioToLoad(Site site, double load, double lowerLoad) {
        return Spread.of(results(site, load, PolicyKind.BANYANTALLY)
                .mapToDouble(own -> own.goodput()
                        / results(site, lowerLoad, PolicyKind.BANYANTALLY)
                                .filter(result ->
                                        result.trace().seed() == own.trace().seed())
                                .mapToDouble(RunResult::goodput)
                                .sum())
                .toArray());
    }
}
