package io.banyantally.internal.idempotency;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against combinations of faults that no single row of the matrix has. */
final class CallScheduleTest {
    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 4_000);
    private static final long SEED = Long.getLong("banyantally.seed", 20_261_204L);
    private static final int REQUESTS = 12;
    private static final int MAXIMUM_DEPTH = 4;
    private static final CallFault[] SEND_FAULTS = {
        CallFault.NONE,
        CallFault.NONE,
        CallFault.NONE,
        CallFault.NOT_SENT,
        CallFault.REFUSED,
        CallFault.CLOSED_BEFORE_RUN,
        CallFault.CLOSED_AFTER_RUN
    };

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "random", fault = "seeded random faults in combination")
    void runsAtMostOnceInEverySchedule() {
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            long seed = SEED + schedule;
            try {
                new Schedule(seed).run();
            } catch (AssertionError failure) {
                throw new AssertionError("schedule with seed " + seed + " failed", failure);
            }
        }
    }

    private static final class Schedule {
        private final Random random;
        private final CallSimulation world = new CallSimulation();
        private final double faultRate;
        private int depth;
        private int incarnations = 100;

        Schedule(long seed) {
            random = new Random(seed);
            faultRate = random.nextDouble() * 0.4;
        }

        void run() {
            world.listener = this::at;
            for (int i = 0; i < REQUESTS; i++) {
                act();
                if (random.nextInt(3) == 0) {
                    world.heal();
                    world.listener = this::at;
                }
                replaceOneKilledVm();
            }
            world.heal();
            world.maintain();
            world.check();
        }

        private void act() {
            world.sendFault = SEND_FAULTS[random.nextInt(SEND_FAULTS.length)];
            CallIdentity identity = new CallIdentity(
                    CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-" + random.nextInt(2));
            String hash = random.nextInt(10) == 0 ? "other" : "hash";
            world.call(world.vms.get(random.nextInt(world.vms.size())), identity, hash);
        }

        private void replaceOneKilledVm() {
            for (int i = 0; i < world.vms.size(); i++) {
                if (!world.vms.get(i).alive && random.nextBoolean()) {
                    world.vms.set(i, new CallVm(world, world.vms.get(i).id, incarnations++));
                }
            }
        }

        private StoreFault at(CallVm vm, CallStep step, boolean after) {
            if (depth >= MAXIMUM_DEPTH || random.nextDouble() >= faultRate) {
                return StoreFault.NONE;
            }
            depth++;
            try {
                return strike(vm);
            } finally {
                depth--;
            }
        }

        private StoreFault strike(CallVm vm) {
            switch (random.nextInt(12)) {
                case 0 -> vm.kill();
                case 1 -> world.advance(Duration.ofSeconds(random.nextInt(90)));
                case 2 -> vm.cutFromAll();
                case 3 -> world.hub.cut(vm.id, world.vms.get(random.nextInt(3)).id);
                case 4 -> vm.platformDown = true;
                case 5 -> world.vms.forEach(each -> each.platformDown = true);
                case 6, 7 -> act();
                case 8 -> world.maintain();
                case 9 -> {
                    return StoreFault.UNAVAILABLE;
                }
                case 10 -> {
                    return StoreFault.LOST_REQUEST;
                }
                default -> {
                    return StoreFault.LOST_ANSWER;
                }
            }
            return StoreFault.NONE;
        }
    }
}
