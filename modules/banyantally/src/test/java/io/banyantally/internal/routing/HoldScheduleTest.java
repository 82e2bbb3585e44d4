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

/** Guards against orders of faults that nobody thought of: draws them from seeds and checks that no work meets a change. */
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
        HoldSimulation world = new HoldSimulation(seed);
        HoldFault[] faults = HoldFault.values();
        for (int round = 0; round < ROUNDS; round++) {
            if (world.random.nextInt(15) == 0) {
                faults[world.random.nextInt(faults.length)].inject(world);
            }
            if (world.random.nextInt(20) == 0) {
                world.hub.restoreAll();
            }
            world.round(true);
        }
        changes.add(world.changes);
        return world.violations;
    }
}
