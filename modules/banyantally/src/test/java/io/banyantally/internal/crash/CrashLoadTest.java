package io.banyantally.internal.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates a load in which some prompts crash engines, and checks what the other callers get. */
final class CrashLoadTest {

    private static final Duration DURATION = Duration.ofSeconds(40);

    /** The rules of the platform allow three more such requests later than this after the fifth crash. */
    private static final Duration LIMIT = Duration.ofSeconds(3);

    private static final int ALLOWED_AFTER_LIMIT = 3;

    /** Guards against a part that crashes one engine after the other, at few and at many VMs. */
    @ParameterizedTest
    @CsvSource({"1, 6, 6, 0.5", "2, 6, 6, 1.5", "3, 6, 6, 10", "4, 78, 24, 1.5", "5, 78, 24, 10"})
    void crashingPartReachesNoMoreEnginesThanAllowed(long seed, int vms, int engines, double crashingRate)
            throws Exception {
        CrashSimulation.Result result = new CrashSimulation(seed, vms, engines).run(crashingRate, DURATION, LIMIT);

        assertTrue(result.crashes() >= CrashAttribution.EPISODES_TO_BLAME, result::toString);
        assertTrue(result.sentAfterLimit() <= ALLOWED_AFTER_LIMIT, result::toString);
        assertEquals(0, result.soundRefused(), result::toString);
    }

    /** Guards against blaming prompts for engines that end together for another cause. */
    @ParameterizedTest
    @CsvSource({"1, 4", "2, 4", "3, 6", "4, 6"})
    void enginesThatEndTogetherBlameNoPrompt(long seed, int ended) throws Exception {
        CrashSimulation simulation = new CrashSimulation(seed, 6, 6);
        for (int loss = 0; loss < 6; loss++) {
            simulation.crashEngines(ended);
            CrashSimulation.Result result = simulation.run(0, Duration.ofSeconds(4), LIMIT);

            assertEquals(0, result.soundRefused(), result::toString);
        }
    }

    /** Guards against a VM that forgets which prompts crash engines when its process starts again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void restartedVmsRefuseTheCrashingPart(long seed) throws Exception {
        int vms = 6;
        CrashSimulation simulation = new CrashSimulation(seed, vms, 6);
        int crashes = simulation.run(1.5, DURATION, LIMIT).crashes();
        for (int vm = 0; vm < vms; vm++) {
            simulation.restartVm(vm);
        }

        assertEquals(crashes, simulation.run(1.5, DURATION, LIMIT).crashes());
    }
}
