package io.banyantally.internal.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Draws schedules of faults and task switches from consecutive seeds and checks what took effect. */
final class RandomScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 5_000);
    private static final long BASE_SEED = Long.getLong("banyantally.seed", 20_261_204L);

    /** Steps that are taken all the time are struck seldom, so that a schedule also reaches the others. */
    private static final int FREQUENT_STEPS_PER_STRIKE = 400;

    private static final int OTHER_STEPS_PER_STRIKE = 12;

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "drawn", fault = "drawn")
    void promisesHoldOverRandomSchedules() {
        List<String> failures = LongStream.range(BASE_SEED, BASE_SEED + SCHEDULES)
                .parallel()
                .mapToObj(RandomScheduleTest::run)
                .filter(result -> !result.isEmpty())
                .limit(5)
                .toList();
        assertEquals(List.of(), failures);
    }

    @Test
    void theSameSeedGivesTheSameRun() {
        assertEquals(
                site(BASE_SEED).run().simulation.random.nextLong(),
                site(BASE_SEED).run().simulation.random.nextLong());
    }

    private static String run(long seed) {
        SiteCheck check = site(seed).run().check;
        return check.all().isEmpty() ? "" : "seed " + seed + ": " + check.all();
    }

    /** Several faults overlap in most schedules. */
    private static SimulatedSite site(long seed) {
        SplittableRandom draws = new SplittableRandom(~seed);
        return new SimulatedSite(seed, draws.nextBoolean(), draws.nextBoolean(), (world, vm, step) -> {
            boolean frequent = step == Step.OTHER || step == Step.CONFIRM || step == Step.RENEW;
            if (draws.nextInt(frequent ? FREQUENT_STEPS_PER_STRIKE : OTHER_STEPS_PER_STRIKE) == 0) {
                Fault[] faults = Fault.values();
                faults[draws.nextInt(faults.length)].strike(world, vm);
            }
        });
    }
}
