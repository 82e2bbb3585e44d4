package io.banyantally.internal.orders;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against invariants that only combinations of faults violate. Each seed yields a schedule of faults and task
 * switches.
 */
final class RandomScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 5_000);
    private static final long BASE_SEED = Long.getLong("banyantally.seed", 20_261_204L);

    /** Frequent steps get a fault less often, so that a schedule also reaches the others. */
    private static final int FREQUENT_STEPS_PER_FAULT = 400;

    private static final int OTHER_STEPS_PER_FAULT = 12;

    @Test
    @FaultRow(promise = Promise.STALE_AUTHORITY_HARMLESS, step = "random", fault = "random")
    void invariantsHoldInRandomSchedules() {
        List<String> failures = LongStream.range(BASE_SEED, BASE_SEED + SCHEDULES)
                .parallel()
                .mapToObj(RandomScheduleTest::run)
                .filter(result -> !result.isEmpty())
                .limit(5)
                .toList();
        assertEquals(List.of(), failures);
    }

    @Test
    void sameSeedYieldsSameRun() {
        assertEquals(
                site(BASE_SEED).run().simulation.random.nextLong(),
                site(BASE_SEED).run().simulation.random.nextLong());
    }

    private static String run(long seed) {
        SiteCheck check = site(seed).run().check;
        return check.allViolations().isEmpty() ? "" : "seed " + seed + ": " + check.allViolations();
    }

    /** Injects faults often enough that several overlap in most schedules. */
    private static SimulatedSite site(long seed) {
        SplittableRandom random = new SplittableRandom(~seed);
        return new SimulatedSite(seed, random.nextBoolean(), random.nextBoolean(), (currentSite, vm, step) -> {
            boolean frequent = step == Step.OTHER || step == Step.CONFIRM || step == Step.RENEW;
            if (random.nextInt(frequent ? FREQUENT_STEPS_PER_FAULT : OTHER_STEPS_PER_FAULT) == 0) {
                Fault[] faults = Fault.values();
                faults[random.nextInt(faults.length)].injectInto(currentSite, vm);
            }
        });
    }
}
