package io.banyantally.internal.placement;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Estimates how long engines compute prompts, from the prefill calls of this VM and of its peers.
 *
 * <p>The estimate is a {@link PrefillCost} for each kind of engine (service and stage) and a factor for each engine. A
 * VM of a large fleet sends an engine a request only every few seconds, so VMs share the sums of their measurements,
 * which lose their weight with age.
 *
 * <p>Work of other VMs at an engine is known late or not at all, which makes prefills seem too long. Two rules limit
 * that: short calls count more than long ones, and the prefills that an engine has computed in a second cannot have
 * taken longer than a second. The second rule decides while engines are busy, the calls to idle engines otherwise.
 */
public class EngineRates {

    /** A decoding engine computes prompts at half the rate of a prefill engine, by the platform's protocol. */
    private static final double DECODE_TIME_RATIO = 2;

    /** The prefill time of a prompt of unknown size, in milliseconds. */
    private static final double UNKNOWN_PREFILL_MILLIS = 8;

    /** Calls of a kind lose two thirds of their weight in this time; a few hundred are needed for four coefficients. */
    private static final Duration KIND_FADING = Duration.ofSeconds(3);

    /** A factor follows an engine that becomes slow within this time. */
    private static final Duration ENGINE_FADING = Duration.ofSeconds(1);

    /** Without calls, a factor returns to 1 in this time, so that an engine that was slow is tried again. */
    private static final Duration FACTOR_RETURN = Duration.ofSeconds(5);

    /** The weight of the former factor in calls; limits the effect of a single slow call. */
    private static final double FORMER_FACTOR_WEIGHT = 0.5;

    /** Calls that take longer than this multiple of the estimate count as this, since a call may stall by itself. */
    private static final double MAXIMUM_RATIO = 10;

    /** With fewer calls of its kind, a slow call says nothing about the engine. */
    private static final double MINIMUM_KIND_WEIGHT = 3;

    /**
     * Calls count by the estimate divided by their time, up to this weight. Unbounded, calls whose whole prompt was
     * cached would decide alone.
     */
    private static final double MAXIMUM_SHORT_CALL_WEIGHT = 2;

    /** Estimates are computed anew at most this often, and after each call of this VM. */
    private static final Duration REFRESH = Duration.ofMillis(10);

    /** Sums of less weight are not shared. */
    private static final double MINIMUM_SHARED_WEIGHT = 0.05;

    /** Sums of a peer have no weight left after this time. */
    private static final Duration MAXIMUM_AGE = Duration.ofSeconds(20);

    /** Factors beyond this are logged. */
    private static final double NOTABLE_FACTOR = 2;

    private static final EventLog LOG = EventLog.of(EngineRates.class);

    private final MonotonicClock clock;
    private final Counter calls;
    private final Counter invalid;
    private final Map<String, Kind> kinds = new HashMap<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final Map<VmId, Received> received = new HashMap<>();
    private boolean invalidLogged;

    /** Creates the estimate of a VM that knows no engine. */
    public EngineRates(MonotonicClock clock, MetricRegistry metrics) {
        this.clock = clock;
        this.calls = metrics.counter("engine_rates.calls");
        this.invalid = metrics.counter("engine_rates.invalid");
    }

    /** Returns the expected milliseconds that an engine computes a prompt, at its usual pace. */
    synchronized double prefillMillis(ReplicaEntry engine, PromptMetadata prompt, CacheExpectation cache) {
        long now = clock.nanoTime();
        PrefillCost cost = kind(kindName(engine), now).cost;
        Engine known = engine(engineName(engine), now);
        known.cost = cost;
        return cost.millis(prompt, cache) * known.factor;
    }

    /** Returns {@link #prefillMillis} of an engine at the pace that it reported last, also for an unknown prompt. */
    double prefillMillis(Candidate engine, Placement.Demand demand, CacheExpectation cache) {
        return demand.prompt()
                .map(prompt -> prefillMillis(engine.entry(), prompt, cache) * engine.pace())
                .orElse(UNKNOWN_PREFILL_MILLIS);
    }

    /** Returns the expected milliseconds that a decoding engine computes a long prompt between its decoding steps. */
    double decodingPrefillMillis(Candidate engine, Placement.Demand demand) {
        return demand.prompt()
                .map(prompt -> DECODE_TIME_RATIO
                        * prefillMillis(engine.entry().withStage(EngineStage.PREFILL), prompt, CacheExpectation.HOME)
                        * engine.pace())
                .orElse(UNKNOWN_PREFILL_MILLIS);
    }

    /**
     * Records a prefill call.
     *
     * <p>The time of a call to an engine with other work is divided between that work and the call as their estimates
     * are, so that an error common to both cancels out. Such a call counts less, as some of the work is unknown.
     *
     * @param choice the decision by which the call was sent
     * @param elapsedMillis the time of the call without its overhead
     */
    public synchronized void recordPrefill(
            Placement.Decision.Send choice, PromptMetadata prompt, double elapsedMillis) {
        Candidate candidate = choice.candidate();
        if (choice.work() <= 0 || elapsedMillis <= 0 || candidate.pace() <= 0 || prompt.promptTokens() <= 0) {
            return;
        }
        calls.inc();
        long now = clock.nanoTime();
        double share = choice.work() / (choice.work() + workAhead(candidate));
        double millis = elapsedMillis * share / candidate.pace();
        CacheExpectation cache = EnginePlacement.cacheExpectation(choice);
        Kind kind = kind(kindName(candidate.entry()), now);
        Engine engine = engine(engineName(candidate.entry()), now);
        engine.own.fade(now, ENGINE_FADING);
        double weight = share * share;
        double expected = kind.cost.millis(prompt, cache);
        if (kind.weight >= MINIMUM_KIND_WEIGHT && expected > 0) {
            millis = Math.min(millis, expected * engine.measured * MAXIMUM_RATIO);
            double ratio = Math.min(MAXIMUM_RATIO, millis / expected);
            // Unknown work only lengthens calls, so the shorter ones say more.
            weight /= Math.max(1 / MAXIMUM_SHORT_CALL_WEIGHT, ratio / engine.measured);
            engine.own.values[0] += weight * ratio;
            engine.own.values[Engine.WEIGHT] += weight;
            kind.ratios.fade(now, ENGINE_FADING);
            kind.ratios.values[0] += weight * ratio;
            kind.ratios.values[1] += weight;
        }
        PrefillCost.addColumns(engine.own.values, 1, prompt, cache, candidate.pace());
        kind.own.fade(now, KIND_FADING);
        PrefillCost.add(kind.own.values, prompt, cache, millis * kind.meanFactor() / engine.measured, weight);
        kind.refresh(now);
        engine.cost = kind.cost;
        engine.refresh(now);
    }

    /** Returns the work ahead of a new request; the first request of it is half done on average. */
    private static double workAhead(Candidate candidate) {
        double queued = candidate.outstandingWork() + candidate.peerWork();
        int requests = candidate.outstanding() + candidate.peerRequests();
        return requests == 0 ? 0 : queued * (1 - 0.5 / requests);
    }

    /** Returns what this VM and the peers that {@code included} accepts have measured. */
    public synchronized RateReport rates(Predicate<VmId> included) {
        long now = clock.nanoTime();
        List<RateReport.Sums> ofKinds = new ArrayList<>();
        kinds.forEach((name, kind) -> share(name, kind.total(included, now), ofKinds));
        List<RateReport.Sums> ofEngines = new ArrayList<>();
        engines.forEach((name, engine) -> share(name, engine.total(included, now), ofEngines));
        return new RateReport(ofKinds, ofEngines);
    }

    private static void share(String name, double[] total, List<RateReport.Sums> shared) {
        if (total[total.length - 1] >= MINIMUM_SHARED_WEIGHT) {
            List<Double> values = new ArrayList<>();
            for (double value : total) {
                values.add(value);
            }
            shared.add(new RateReport.Sums(name, values));
        }
    }

    /** Replaces what is known of the measurements of a peer. */
    public synchronized void receive(VmId peer, RateReport report) {
        long now = clock.nanoTime();
        received.put(
                peer,
                new Received(
                        valid(report.kinds(), PrefillCost.SUMS, now), valid(report.engines(), Engine.SUMS, now), now));
        received.values().removeIf(other -> now - other.at > MAXIMUM_AGE.toNanos());
        report.kinds().forEach(sums -> kind(sums.name(), now));
        report.engines().forEach(sums -> engine(sums.name(), now));
        engines.values().removeIf(engine -> now - engine.usedAt > MAXIMUM_AGE.toNanos());
    }

    private Map<String, FadingSums> valid(List<RateReport.Sums> sums, int size, long now) {
        Map<String, FadingSums> byName = new HashMap<>();
        for (RateReport.Sums one : sums) {
            boolean inRange = one.name() != null
                    && one.values().size() == size
                    && one.values().stream().allMatch(value -> Double.isFinite(value) && value >= 0);
            if (inRange) {
                FadingSums values = new FadingSums(size, now);
                for (int index = 0; index < size; index++) {
                    values.values[index] = one.values().get(index);
                }
                byName.put(one.name(), values);
            } else {
                invalid.inc();
                if (!invalidLogged) {
                    invalidLogged = true;
                    LOG.warn(
                            "engine_rate_invalid",
                            EventField.of("name", String.valueOf(one.name())),
                            EventField.of("values", one.values().toString()));
                }
            }
        }
        return byName;
    }

    private static String kindName(ReplicaEntry engine) {
        return engine.service() + "/" + engine.stage();
    }

    /** An engine that restarts under the same id may be another machine. */
    private static String engineName(ReplicaEntry engine) {
        return engine.id().value()
                + "@"
                + (engine.startedAtMillis().isPresent()
                        ? Long.toString(engine.startedAtMillis().getAsLong())
                        : engine.address().toString());
    }

    private Kind kind(String name, long now) {
        Kind kind = kinds.computeIfAbsent(name, absent -> new Kind(absent, now));
        if (now - kind.refreshedAt >= REFRESH.toNanos()) {
            kind.refresh(now);
        }
        return kind;
    }

    private Engine engine(String name, long now) {
        Engine engine = engines.computeIfAbsent(name, absent -> new Engine(absent, now));
        if (now - engine.refreshedAt >= REFRESH.toNanos()) {
            engine.refresh(now);
        }
        return engine;
    }

    private static double fraction(long elapsedNanos, Duration time) {
        return 1 - Math.exp(-Math.max(0, elapsedNanos) / (double) time.toNanos());
    }

    /** The estimate of a kind of engine. */
    private final class Kind {
        private final String name;
        private final FadingSums own;
        private PrefillCost former = PrefillCost.start();
        private PrefillCost cost = former;
        /** The weighted sum of this VM's measured times divided by the estimated ones, and the weight. */
        private final FadingSums ratios;

        private double weight;
        private long refreshedAt;

        Kind(String name, long now) {
            this.name = name;
            own = new FadingSums(PrefillCost.SUMS, now);
            ratios = new FadingSums(2, now);
            refresh(now);
        }

        private double[] total(Predicate<VmId> included, long now) {
            double[] total = new double[PrefillCost.SUMS];
            own.addTo(total, now, KIND_FADING);
            received.forEach((vm, report) -> {
                FadingSums sums = report.kinds.get(name);
                if (sums != null && included.test(vm)) {
                    sums.addTo(total, now, KIND_FADING);
                }
            });
            return total;
        }

        /**
         * Returns the mean factor of the engines that this VM uses. Measured times are divided by an engine's factor
         * relative to this mean; by the factor alone, an error common to all factors would remain in the estimate.
         */
        private double meanFactor() {
            return (ratios.values[0] + FORMER_FACTOR_WEIGHT) / (ratios.values[1] + FORMER_FACTOR_WEIGHT);
        }

        private void refresh(long now) {
            // What recent calls leave open stays as it was, also while there are none.
            former = former.towards(cost, fraction(now - refreshedAt, KIND_FADING));
            refreshedAt = now;
            double[] total = total(vm -> true, now);
            weight = PrefillCost.weight(total);
            cost = former.fitted(total);
        }
    }

    /** The factor of an engine. */
    private final class Engine {
        /** The weighted sum of measured times divided by those of the kind, what was computed, and the weight. */
        private static final int SUMS = 2 + PrefillCost.COEFFICIENTS;

        private static final int WEIGHT = SUMS - 1;

        private final String name;
        private final FadingSums own;
        private PrefillCost cost = PrefillCost.start();
        private double former = 1;
        private double measured = 1;
        private double factor = 1;
        private boolean notable;
        private long refreshedAt;
        private long usedAt;

        Engine(String name, long now) {
            this.name = name;
            own = new FadingSums(SUMS, now);
            usedAt = now;
            refresh(now);
        }

        private double[] total(Predicate<VmId> included, long now) {
            double[] total = new double[SUMS];
            own.addTo(total, now, ENGINE_FADING);
            received.forEach((vm, report) -> {
                FadingSums sums = report.engines.get(name);
                if (sums != null && included.test(vm)) {
                    sums.addTo(total, now, ENGINE_FADING);
                }
            });
            return total;
        }

        private void refresh(long now) {
            long elapsed = now - refreshedAt;
            refreshedAt = now;
            former += (measured - former) * fraction(elapsed, ENGINE_FADING);
            former += (1 - former) * fraction(elapsed, FACTOR_RETURN);
            double[] total = total(vm -> true, now);
            if (total[WEIGHT] >= MINIMUM_SHARED_WEIGHT) {
                usedAt = now;
            }
            measured = (total[0] + FORMER_FACTOR_WEIGHT * former) / (total[WEIGHT] + FORMER_FACTOR_WEIGHT);
            // An engine cannot compute for more than a second in a second.
            double computed = cost.millisOfColumns(total, 1);
            factor = Math.min(measured, ENGINE_FADING.toMillis() / Math.max(1, computed));
            boolean slow = former >= NOTABLE_FACTOR;
            if (slow != notable && (slow || former < NOTABLE_FACTOR / 1.5)) {
                notable = slow;
                LOG.info(
                        slow ? "engine_slow" : "engine_usual",
                        EventField.of("engine", name),
                        EventField.of("percent", Math.round(former * 100)));
            }
        }
    }

    private record Received(Map<String, FadingSums> kinds, Map<String, FadingSums> engines, long at) {}

    /** Sums that lose their weight with time. */
    private static final class FadingSums {
        private final double[] values;
        private long at;

        FadingSums(int size, long now) {
            values = new double[size];
            at = now;
        }

        private void fade(long now, Duration time) {
            double kept = 1 - fraction(now - at, time);
            at = now;
            for (int index = 0; index < values.length; index++) {
                values[index] *= kept;
            }
        }

        private void addTo(double[] total, long now, Duration time) {
            double kept = 1 - fraction(now - at, time);
            for (int index = 0; index < values.length; index++) {
                total[index] += values[index] * kept;
            }
        }
    }
}
