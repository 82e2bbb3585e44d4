package io.banyantally.internal.idempotency;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against calls that run twice under random combinations of faults, which the fault matrix does not cover. */
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
        private final CallSimulation simulation = new CallSimulation();
        private final double faultRate;
        private int depth;
        private int incarnations = 100;

        Schedule(long seed) {
            random = new Random(seed);
            faultRate = random.nextDouble() * 0.4;
        }

        void run() {
            simulation.listener = this::onStep;
            for (int i = 0; i < REQUESTS; i++) {
                startCall();
                if (random.nextInt(3) == 0) {
                    simulation.heal();
                    simulation.listener = this::onStep;
                }
                replaceOneKilledVm();
            }
            simulation.heal();
            simulation.maintain();
            simulation.check();
        }

        private void startCall() {
            simulation.sendFault = SEND_FAULTS[random.nextInt(SEND_FAULTS.length)];
            CallIdentity identity = new CallIdentity(
                    CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-" + random.nextInt(2));
            String hash = random.nextInt(10) == 0 ? "other" : "hash";
            simulation.call(simulation.vms.get(random.nextInt(simulation.vms.size())), identity, hash);
        }

        private void replaceOneKilledVm() {
            for (int i = 0; i < simulation.vms.size(); i++) {
                if (!simulation.vms.get(i).alive && random.nextBoolean()) {
                    simulation.vms.set(i, new CallVm(simulation, simulation.vms.get(i).id, incarnations++));
                }
            }
        }

        private StoreFault onStep(CallVm vm, CallStep step, boolean after) {
            if (depth >= MAXIMUM_DEPTH || random.nextDouble() >= faultRate) {
                return StoreFault.NONE;
            }
            depth++;
            try {
                return injectFault(vm);
            } finally {
                depth--;
            }
        }

        private StoreFault injectFault(CallVm vm) {
            switch (random.nextInt(12)) {
                case 0 -> vm.kill();
                case 1 -> simulation.advance(Duration.ofSeconds(random.nextInt(90)));
                case 2 -> vm.cutFromAll();
                case 3 -> simulation.hub.cut(vm.id, simulation.vms.get(random.nextInt(3)).id);
                case 4 -> vm.platformDown = true;
                case 5 -> simulation.vms.forEach(each -> each.platformDown = true);
                case 6, 7 -> startCall();
                case 8 -> simulation.maintain();
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
