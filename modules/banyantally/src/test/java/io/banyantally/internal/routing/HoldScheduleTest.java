package io.banyantally.internal.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against sequences of faults that no other test covers: runs random ones from seeds and checks that no work is
 * sent or running during a change.
 */
final class HoldScheduleTest {

    private static final long SCHEDULES = Long.getLong("banyantally.schedules", 2_000);
    private static final long SEED = Long.getLong("banyantally.seed", 1);
    private static final int ROUNDS = 40;

    @Test
    @FaultRow(promise = Promise.NO_PLANNED_CUT, step = "drawn", fault = "drawn")
    void noWorkRunsDuringAChangeInRandomSchedules() {
        LongAdder changes = new LongAdder();
        Map<Long, List<String>> violations = LongStream.range(SEED, SEED + SCHEDULES)
                .parallel()
                .boxed()
                .collect(Collectors.toConcurrentMap(seed -> seed, seed -> run(seed, changes)));
        violations.values().removeIf(List::isEmpty);
        assertEquals(Map.of(), violations);
        assertTrue(changes.sum() >= SCHEDULES / 4, "only " + changes.sum() + " changes were made");
    }

    private static List<String> run(long seed, LongAdder changes) {
        HoldSimulation simulation = new HoldSimulation(seed);
        HoldFault[] faults = HoldFault.values();
        for (int round = 0; round < ROUNDS; round++) {
            if (simulation.random.nextInt(15) == 0) {
                faults[simulation.random.nextInt(faults.length)].inject(simulation);
            }
            if (simulation.random.nextInt(20) == 0) {
                simulation.hub.restoreAll();
            }
            simulation.round(true);
        }
        changes.add(simulation.changes);
        return simulation.violations;
    }
}
