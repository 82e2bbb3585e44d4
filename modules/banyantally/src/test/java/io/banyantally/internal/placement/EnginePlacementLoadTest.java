package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.time.MonotonicClock;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates the load of long prompts and checks the results of requests. */
final class EnginePlacementLoadTest {

    private static final int ENGINES = 6;
    private static final Duration DURATION = Duration.ofSeconds(20);

    /** Two thirds of the rate that six engines compute when all sessions are cached. */
    private static final double USUAL_REQUESTS_PER_SECOND = 420;

    /** More than six engines can compute. */
    private static final double OVERLOAD_REQUESTS_PER_SECOND = 900;

    /** Guards against refusals and late answers while the engines have free capacity. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void usualLoadIsServedInTime(long seed) {
        PromptLoadSimulation.Result result = withHomes(seed).run(USUAL_REQUESTS_PER_SECOND, DURATION);

        assertTrue(result.servedShare() > 0.97, result::toString);
        assertTrue(result.inTimeShare() > 0.85, result::toString);
    }

    /** Guards against queues that make every answer late: in overload, most of the served requests must be in time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void overloadIsRefusedAtOnceAndTheRestServedInTime(long seed) {
        PromptLoadSimulation.Result result = withHomes(seed).run(OVERLOAD_REQUESTS_PER_SECOND, DURATION);
        PromptLoadSimulation.Result unlimited =
                withHomesWithoutRefusals(seed).run(OVERLOAD_REQUESTS_PER_SECOND, DURATION);

        assertTrue(result.inTimeShare() > 0.5 * result.servedShare(), result::toString);
        assertTrue(result.inTimeShare() > 3 * unlimited.inTimeShare(), () -> result + "; without limit " + unlimited);
    }

    /** Guards against starvation of long prompts: their served share must be more than half of that of all prompts. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void longPromptsAreNotStarvedInOverload(long seed) {
        PromptLoadSimulation.Result result = withHomes(seed).run(OVERLOAD_REQUESTS_PER_SECOND, DURATION);

        assertTrue(result.servedLongShare() > 0.5 * result.servedShare(), result::toString);
    }

    /** Guards against computing a session on every engine: home engines must serve more in time than random engines. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void homesServeMoreInTimeThanRandomEngines(long seed) {
        PromptLoadSimulation.Result result = withHomes(seed).run(USUAL_REQUESTS_PER_SECOND, DURATION);
        PromptLoadSimulation.Result randomEngines = withRandomEngines(seed).run(USUAL_REQUESTS_PER_SECOND, DURATION);

        assertEquals(0, randomEngines.refused());
        assertTrue(
                result.inTimeShare() > randomEngines.inTimeShare(), () -> result + "; random engines " + randomEngines);
    }

    /** Guards against a change of what is served where placement does not use measured rates, which is the default. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nominalRatesServeTheSameLoads(long seed) {
        PromptLoadSimulation.Result usual = withNominalRates(seed).run(USUAL_REQUESTS_PER_SECOND, DURATION);
        PromptLoadSimulation.Result overload = withNominalRates(seed).run(OVERLOAD_REQUESTS_PER_SECOND, DURATION);

        assertTrue(usual.servedShare() > 0.97, usual::toString);
        assertTrue(usual.inTimeShare() > 0.85, usual::toString);
        assertTrue(overload.inTimeShare() > 0.5 * overload.servedShare(), overload::toString);
        assertTrue(overload.servedLongShare() > 0.5 * overload.servedShare(), overload::toString);
    }

    private static PromptLoadSimulation withNominalRates(long seed) {
        return new PromptLoadSimulation(
                seed,
                ENGINES,
                (random, rates) -> new EnginePlacement(
                        random, new NominalRates(MonotonicClock.SYSTEM, new MetricRegistry()))::decidePrefill);
    }

    private static PromptLoadSimulation withHomes(long seed) {
        return new PromptLoadSimulation(
                seed, ENGINES, (random, rates) -> new EnginePlacement(random, rates)::decidePrefill);
    }

    /** Sends sessions to their home engines, but never refuses a request. */
    private static PromptLoadSimulation withHomesWithoutRefusals(long seed) {
        return new PromptLoadSimulation(seed, ENGINES, (random, rates) -> {
            EnginePlacement placement = new EnginePlacement(random, rates);
            return (demand, candidates) ->
                    placement.decidePrefill(new Placement.Demand(demand.prompt(), Duration.ofDays(1)), candidates);
        });
    }

    private static PromptLoadSimulation withRandomEngines(long seed) {
        return new PromptLoadSimulation(
                seed,
                ENGINES,
                (random, rates) ->
                        (demand, candidates) -> new Placement.Decision.Send(any(random, candidates), 0, 8, "random"));
    }

    private static Candidate any(Random random, java.util.List<Candidate> candidates) {
        return candidates.get(random.nextInt(candidates.size()));
    }
}
