package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import org.junit.jupiter.api.Test;

/** Random sequences of faults; {@code -Dbanyantally.schedules} and {@code -Dbanyantally.seed} set number and seed. */
final class RandomScheduleTest {

    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 3_000);
    private static final long SEED = Long.getLong("banyantally.seed", 20_261_204L);

    /**
     * Guards against failures in sequences of events that no other test covers: a configuration that reverts to a lower
     * revision, a lost change, a withdrawn key that is served more than 2 s after the withdrawal was accepted, and a VM
     * that does not recover.
     */
    @Test
    @FaultRow(
            promise = Promise.CONFIGURATION_NEVER_REVERTS,
            step = "any",
            fault = "random kills, pauses, cuts, outages, lost answers, races and roster changes together")
    void configurationsAndWithdrawalsHoldUnderRandomSchedules() {
        int accepted = 0;
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            long seed = SEED + schedule;
            try {
                accepted += new RandomSchedule(seed).run();
            } catch (Exception | AssertionError failure) {
                throw new AssertionError("schedule with -Dbanyantally.schedules=1 -Dbanyantally.seed=" + seed, failure);
            }
        }
        System.out.println("schedules=" + SCHEDULES + " seed=" + SEED + " acceptedWithdrawals=" + accepted);
        assertTrue(
                accepted >= SCHEDULES,
                "only " + accepted + " withdrawals were accepted, expected at least one per schedule");
    }
}
