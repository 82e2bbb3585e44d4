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
    private static final int STRIKES_PER_SCHEDULE = 400;

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

    /** About one strike in {@link #STRIKES_PER_SCHEDULE} steps, so that several faults overlap in most schedules. */
    private static SimulatedSite site(long seed) {
        SplittableRandom draws = new SplittableRandom(~seed);
        return new SimulatedSite(seed, draws.nextBoolean(), draws.nextBoolean(), (world, vm, step) -> {
            boolean rare = step == Step.OTHER || step == Step.CONFIRM || step == Step.RENEW;
            if (draws.nextInt(rare ? STRIKES_PER_SCHEDULE : 12) == 0) {
                Fault[] faults = Fault.values();
                faults[draws.nextInt(faults.length)].strike(world, vm);
            }
        });
    }
}
