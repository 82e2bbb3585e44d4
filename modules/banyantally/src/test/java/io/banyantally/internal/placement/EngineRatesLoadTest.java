package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates engines of different rates and compares the learned rates with the true ones. */
final class EngineRatesLoadTest {

    private static final int ENGINES = 6;
    private static final Duration DURATION = Duration.ofSeconds(12);

    /** Requests a second for each prompt token that the engines compute in a millisecond. */
    private static final double USUAL_LOAD = 420.0 / (ENGINES * 514);

    private static final double OVERLOAD = 900.0 / (ENGINES * 514);

    private static final int SEEDS = 2;

    /** The allowed relative error of the mean predicted times. */
    private static final double TOLERANCE = 0.25;

    /** The requests in time with learned rates, as a fraction of those with the true ones. */
    private static final double MINIMUM_IN_TIME = 0.97;

    /** The fraction of sessions that are not cached at their home in this model. */
    private static final double HOME_MISS_RATE = 0.35;

    /** Guards against predicted waits that are off by the factor between kinds of engines. */
    @ParameterizedTest
    @CsvSource({"62.4,700", "307,160", "406,140", "514,120"})
    void oneKindOfEngineIsPredicted(double tokensPerMilli, long targetMillis) {
        check(Collections.nCopies(ENGINES, tokensPerMilli), Duration.ofMillis(targetMillis));
    }

    /** Guards against one rate for a fleet whose engines differ. */
    @Test
    void engineOfEachRateInAMixedFleetIsPredicted() {
        check(List.of(62.4, 307.0, 406.0, 514.0, 514.0, 406.0), Duration.ofMillis(250));
    }

    private static void check(List<Double> rates, Duration target) {
        double total = rates.stream().mapToDouble(rate -> rate).sum();
        for (double load : List.of(USUAL_LOAD, OVERLOAD)) {
            double learnedInTime = 0;
            double knownInTime = 0;
            for (long seed = 1; seed <= SEEDS; seed++) {
                PromptLoadSimulation.Result learned = new PromptLoadSimulation(
                                seed, rates, target, EngineRatesLoadTest::placement)
                        .run(load * total, DURATION);
                PromptLoadSimulation.Result known =
                        withTrueRates(seed, rates, target).run(load * total, DURATION);
                learnedInTime += learned.inTimeShare();
                knownInTime += known.inTimeShare();
                assertEquals(1, learned.predictedWaitRatio(), TOLERANCE, learned::toString);
                assertFalse(learned.predictedWorkRatios().isEmpty(), learned::toString);
                for (double ratio : learned.predictedWorkRatios()) {
                    assertEquals(1, ratio, TOLERANCE, learned::toString);
                }
            }
            assertTrue(
                    learnedInTime >= knownInTime * MINIMUM_IN_TIME,
                    "in time with learned rates " + learnedInTime / SEEDS + ", with true ones " + knownInTime / SEEDS);
        }
    }

    private static PromptLoadSimulation.Policy placement(Random random, EngineRates rates) {
        return new EnginePlacement(random, rates)::decidePrefill;
    }

    private static PromptLoadSimulation withTrueRates(long seed, List<Double> rates, Duration target) {
        AtomicReference<PromptLoadSimulation> simulation = new AtomicReference<>();
        BiFunction<Random, EngineRates, PromptLoadSimulation.Policy> policies =
                (random, learned) -> new EnginePlacement(random, new TrueRates(simulation))::decidePrefill;
        simulation.set(new PromptLoadSimulation(seed, rates, target, policies));
        return simulation.get();
    }

    /** Knows the rate of each engine from the start. */
    private static final class TrueRates extends EngineRates {
        private final AtomicReference<PromptLoadSimulation> simulation;

        TrueRates(AtomicReference<PromptLoadSimulation> simulation) {
            super(new ManualClock(), new MetricRegistry());
            this.simulation = simulation;
        }

        @Override
        synchronized double prefillMillis(ReplicaEntry engine, PromptMetadata prompt, CacheExpectation cache) {
            double session = prompt.parts().get(prompt.parts().size() - 2).tokens();
            double missing = cache == CacheExpectation.HOME ? HOME_MISS_RATE : 1;
            return (prompt.parts().getLast().tokens() + session * missing)
                    / simulation.get().tokensPerMilli(engine);
        }
    }
}
