package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates the load of decoding engines after the platform has reclaimed all but one, and checks the results of
 * requests.
 */
final class DecodeLoadTest {

    private static final Duration DURATION = Duration.ofSeconds(20);
    private static final double LONG_PROMPTS_PER_SECOND = 100;

    /**
     * Each answer to a short prompt occupies a slot for 4 s, so that this rate needs 80 slots; an engine has 16.
     */
    private static final double SHORT_PROMPTS_PER_SECOND = 20;

    /** Guards against requests that wait until their callers time out, while long answers occupy all slots. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void requestsAreRefusedAtOnceWhenSlotsRunOut(long seed) {
        DecodeLoadSimulation.Result result = new DecodeLoadSimulation(seed, 1, demand -> demand)
                .run(LONG_PROMPTS_PER_SECOND, SHORT_PROMPTS_PER_SECOND, DURATION);
        DecodeLoadSimulation.Result unlimited = new DecodeLoadSimulation(seed, 1, DecodeLoadTest::withoutLimit)
                .run(LONG_PROMPTS_PER_SECOND, SHORT_PROMPTS_PER_SECOND, DURATION);

        assertTrue(result.timedOutShare() < 0.05, () -> result + "; without limit " + unlimited);
        assertTrue(result.inTime() > 2 * unlimited.inTime(), () -> result + "; without limit " + unlimited);
    }

    /** Guards against refusals while slots are free. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void noRequestIsRefusedWhileSlotsAreFree(long seed) {
        DecodeLoadSimulation.Result result = new DecodeLoadSimulation(seed, 6, demand -> demand)
                .run(LONG_PROMPTS_PER_SECOND, SHORT_PROMPTS_PER_SECOND / 2, DURATION);

        assertEquals(0, result.refused(), result::toString);
        assertTrue(result.inTimeShare() > 0.99, result::toString);
    }

    private static Placement.Demand withoutLimit(Placement.Demand demand) {
        return new Placement.Demand(demand.prompt(), Duration.ofDays(1));
    }
}
