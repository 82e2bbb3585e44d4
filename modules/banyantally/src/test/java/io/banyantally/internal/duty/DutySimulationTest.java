package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Elections among six VMs, with more seeds by {@code -Dduty.seeds} and the first one by {@code -Dduty.seed}. */
final class DutySimulationTest {

    private static final long FIRST_SEED = Long.getLong("duty.seed", 1);
    private static final long SEEDS = Long.getLong("duty.seeds", 60);

    /**
     * A holder acts again this long after a fault has ended or the store came back: the lease of a VM that has ended
     * lasts for its time to live, the watch shows that, a VM tries to be elected, a second time if it came too late,
     * and waits.
     */
    private static final Duration LONGEST_GAP = SimulatedDutyVm.TIMES
            .timeToLive()
            .plusMillis(SimulatedDutyVm.WATCH_MILLIS)
            .plus(DutyLease.INTERVAL)
            .plus(DutyLease.RETRY_DELAY)
            .plus(SimulatedDutyVm.TIMES.takeoverWait())
            .plusMillis(DutySimulation.STEP_MILLIS);

    /** Guards against two holders, falling numbers, turns within the lease, and duties without a holder. */
    @Test
    void holdersFollowEachOtherThroughAllFaults() {
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> {
            DutySimulation simulation = new DutySimulation(seed);
            simulation.runWithFaults(Duration.ofSeconds(90));
            simulation.heal();
            simulation.runQuietly(LONGEST_GAP);

            assertEquals(List.of(), simulation.acts().violations(), "seed " + seed);
            assertEquals(simulation.now(), simulation.acts().lastActAt(), "no holder acts, seed " + seed);
        });
    }

    /** Guards against turns by a former holder that is elected again after the store has ended two terms early. */
    @Test
    void holdersTakeNoTurnsWhereEachTermEndsEarly() {
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> {
            DutySimulation simulation = new DutySimulation(seed);
            simulation.runWithTermsThatEndEarly(Duration.ofSeconds(90));

            assertEquals(List.of(), simulation.acts().violations(), "seed " + seed);
        });
    }

    /** Guards against the same where nothing but drills happens, two of them within a second. */
    @Test
    void holderActsAgainSoonAfterDrillsInSeries() {
        LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS).forEach(seed -> {
            DutySimulation simulation = new DutySimulation(seed);
            simulation.runQuietly(LONGEST_GAP.plusSeconds(seed % 7));
            assertEquals(simulation.now(), simulation.acts().lastActAt(), "no holder acts, seed " + seed);

            simulation.drill();
            simulation.runQuietly(Duration.ofMillis(seed * 100 % 1000));
            simulation.drill();
            long drilledAt = simulation.now();
            simulation.runQuietly(LONGEST_GAP);

            assertEquals(List.of(), simulation.acts().violations(), "seed " + seed);
            assertTrue(simulation.acts().lastActAt() > drilledAt, "no holder acts, seed " + seed);
            assertEquals(simulation.now(), simulation.acts().lastActAt(), "no holder acts, seed " + seed);
        });
    }
}
