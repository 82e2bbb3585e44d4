package io.banyantally.internal.usage;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong reports under random combinations of faults, which {@link UsageFaultMatrixTest} does not cover.
 */
final class UsageScheduleTest {
    static final long MAXIMUM_DELIVERY_TOKENS = 100;
    private static final int SCHEDULES = Integer.getInteger("banyantally.schedules", 3_000);
    private static final long SEED = Long.getLong("banyantally.seed", 20_261_204L);
    private static final int ACTIONS_PER_SCHEDULE = 40;

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
        private final UsageSimulation simulation = new UsageSimulation();
        private final double faultRate;
        private int injectionDepth;

        Schedule(long seed) {
            random = new Random(seed);
            faultRate = random.nextDouble() * 0.15;
        }

        void run() {
            simulation.listener = this::faultAt;
            for (int i = 0; i < ACTIONS_PER_SCHEDULE; i++) {
                runRandomAction();
                if (random.nextInt(6) == 0) {
                    simulation.clearFaults();
                    simulation.listener = this::faultAt;
                }
            }
            simulation.sealAndReportAll();
            simulation.assertReportedUsage();
        }

        private UsageVm anyVm() {
            return simulation.vms.get(random.nextInt(simulation.vms.size()));
        }

        private void runRandomAction() {
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3, 4 ->
                    simulation.deliver(
                            anyVm(),
                            UsageSimulation.ACCOUNTS.get(random.nextInt(UsageSimulation.ACCOUNTS.size())),
                            1 + random.nextInt((int) MAXIMUM_DELIVERY_TOKENS));
                case 5 -> simulation.advanceWindow();
                case 6 -> simulation.flushZone(anyVm());
                case 7 -> {
                    UsageVm next = anyVm();
                    if (next.alive) {
                        simulation.acquire(next);
                    }
                }
                default -> simulation.runOwnerPass();
            }
        }

        private StoreFault faultAt(UsageVm vm, UsageStep step, boolean after) {
            if (injectionDepth > 0 || random.nextDouble() >= faultRate) {
                return StoreFault.NONE;
            }
            injectionDepth++;
            try {
                return inject(vm);
            } finally {
                injectionDepth--;
            }
        }

        private StoreFault inject(UsageVm vm) {
            switch (random.nextInt(12)) {
                case 0 -> killOrRestart(vm);
                case 1 -> killOrRestart(anyVm());
                case 2 -> simulation.hub.cut(vm.self.vm(), anyVm().self.vm());
                case 3 -> {
                    simulation.hub.isolate(vm.self.vm());
                    vm.platformDown = true;
                }
                case 4 -> vm.platformDown = true;
                case 5 -> simulation.vms.forEach(each -> each.platformDown = true);
                case 6, 7, 8 -> runRandomAction();
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
            long aliveVms = simulation.vms.stream().filter(each -> each.alive).count();
            if (random.nextBoolean() && aliveVms > 2) {
                simulation.kill(vm);
            } else if (aliveVms > 1 || !vm.alive) {
                simulation.restart(simulation.vms.indexOf(vm) < 0 ? 0 : simulation.vms.indexOf(vm));
            }
        }
    }
}
