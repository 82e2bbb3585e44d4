package io.banyantally.internal.usage;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against combinations of faults that no single row of the matrix has. */
final class UsageScheduleTest {
    static final long LARGEST_DELIVERY = 100;
    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 3_000);
    private static final long SEED = Long.getLong("banyantally.seed", 20_261_204L);
    private static final int ACTIONS = 40;

    @Test
    @FaultRow(promise = Promise.SINGLE_USAGE_REPORT, step = "random", fault = "seeded random faults in combination")
    void reportsEveryDeliveredTokenOnceInEverySchedule() {
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
        private final UsageWorld world = new UsageWorld();
        private final double faultRate;
        private int depth;

        Schedule(long seed) {
            random = new Random(seed);
            faultRate = random.nextDouble() * 0.15;
        }

        void run() {
            world.listener = this::at;
            for (int i = 0; i < ACTIONS; i++) {
                act();
                if (random.nextInt(6) == 0) {
                    world.heal();
                    world.listener = this::at;
                }
            }
            world.settle();
            world.check();
        }

        private UsageVm anyVm() {
            return world.vms.get(random.nextInt(world.vms.size()));
        }

        private void act() {
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3, 4 ->
                    world.deliver(
                            anyVm(),
                            UsageWorld.ACCOUNTS.get(random.nextInt(UsageWorld.ACCOUNTS.size())),
                            1 + random.nextInt((int) LARGEST_DELIVERY));
                case 5 -> world.advanceWindow();
                case 6 -> world.flushZone(anyVm());
                case 7 -> {
                    UsageVm next = anyVm();
                    if (next.alive) {
                        world.acquire(next);
                    }
                }
                default -> world.pass();
            }
        }

        private StoreFault at(UsageVm vm, UsageStep step, boolean after) {
            if (depth > 0 || random.nextDouble() >= faultRate) {
                return StoreFault.NONE;
            }
            depth++;
            try {
                return strike(vm);
            } finally {
                depth--;
            }
        }

        private StoreFault strike(UsageVm vm) {
            switch (random.nextInt(12)) {
                case 0 -> killOrRestart(vm);
                case 1 -> killOrRestart(anyVm());
                case 2 -> world.hub.cut(vm.self.vm(), anyVm().self.vm());
                case 3 -> {
                    world.hub.isolate(vm.self.vm());
                    vm.platformDown = true;
                }
                case 4 -> vm.platformDown = true;
                case 5 -> world.vms.forEach(each -> each.platformDown = true);
                case 6, 7, 8 -> act();
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

        private void killOrRestart(UsageVm vm) {
            long living = world.vms.stream().filter(each -> each.alive).count();
            if (random.nextBoolean() && living > 2) {
                world.kill(vm);
            } else if (living > 1 || !vm.alive) {
                world.restart(world.vms.indexOf(vm) < 0 ? 0 : world.vms.indexOf(vm));
            }
        }
    }
}
