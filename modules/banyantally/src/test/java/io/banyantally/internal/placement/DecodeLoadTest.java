package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays the load of decoding engines after a reclaim has left one of them, and checks what callers get. */
final class DecodeLoadTest {

    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final double LONG_PROMPTS = 100;

    /** Answers of short prompts keep four slots each a second; one engine has sixteen. */
    private static final double SHORT_PROMPTS = 20;

    /** Guards against callers that are held until they give up, while each slot is taken by long answers. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void callersAreRefusedAtOnceWhenSlotsRunOut(long seed) {
        DecodeLoad.Result result = new DecodeLoad(seed, 1, demand -> demand).play(LONG_PROMPTS, SHORT_PROMPTS, LENGTH);
        DecodeLoad.Result unlimited =
                new DecodeLoad(seed, 1, DecodeLoadTest::withoutLimit).play(LONG_PROMPTS, SHORT_PROMPTS, LENGTH);

        assertTrue(result.gaveUpShare() < 0.05, () -> result + "; without limit " + unlimited);
        assertTrue(result.inTime() > 2 * unlimited.inTime(), () -> result + "; without limit " + unlimited);
    }

    /** Guards against refusals while slots are free. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nobodyIsRefusedWhileSlotsAreFree(long seed) {
        DecodeLoad.Result result =
                new DecodeLoad(seed, 6, demand -> demand).play(LONG_PROMPTS, SHORT_PROMPTS / 2, LENGTH);

        assertEquals(0, result.refused(), result::toString);
        assertTrue(result.inTimeShare() > 0.99, result::toString);
    }

    private static Placement.Demand withoutLimit(Placement.Demand demand) {
        return new Placement.Demand(demand.prompt(), Duration.ofDays(1));
    }
}
