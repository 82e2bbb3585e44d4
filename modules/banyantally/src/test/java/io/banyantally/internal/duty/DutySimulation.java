package io.banyantally.internal.duty;

import io.banyantally.model.FencingNumber;
import io.banyantally.model.VmId;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/** VMs that elect the holder of the duties in virtual time, with seeded faults of the VMs and of the store. */
final class DutySimulation {

    static final int STEP_MILLIS = 50;

    private static final int VMS = 6;

    /** The store comes back from a copy that is up to this old, in steps. */
    private static final int COPIES = 120;

    /** Each kind of fault begins once in this many steps. */
    private static final int STEPS_BETWEEN_FAULTS = 300;

    private static final int LONGEST_FAULT_MILLIS = 6000;

    private static final int LONGEST_LEASE_LOSS_MILLIS = 2000;

    /** Within this time a drill may be followed by another. */
    private static final int SERIES_MILLIS = 1000;

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final RandomGenerator random;
    private final List<SimulatedDutyVm> vms = new ArrayList<>();
    private final Deque<FakeCoordinationStore.Copy> copies = new ArrayDeque<>();
    private final DutyActs acts = new DutyActs();
    private long storeBackAt;
    private long leasesEndAt = Long.MAX_VALUE;
    private long nextDrillAt = Long.MAX_VALUE;

    DutySimulation(long seed) {
        random = new SplittableRandom(seed);
        store.returnOlder(store.copy());
        copies.addLast(store.copy());
        IntStream.rangeClosed(1, VMS)
                .mapToObj(number -> new SimulatedDutyVm(new VmId("vm-" + number), store, clock, random))
                .forEach(vms::add);
    }

    DutyActs acts() {
        return acts;
    }

    /** Runs without new faults. */
    void runQuietly(Duration time) {
        for (long step = 0; step < time.toMillis() / STEP_MILLIS; step++) {
            step();
        }
    }

    /** Runs with faults that begin at random. */
    void runWithFaults(Duration time) {
        for (long step = 0; step < time.toMillis() / STEP_MILLIS; step++) {
            beginFaults();
            step();
        }
    }

    /** Ends all leases when another VM acts for the first time, which is then cut from the store. */
    void runWithTermsThatEndEarly(Duration time) {
        FencingNumber ended = FencingNumber.NONE;
        for (long step = 0; step < time.toMillis() / STEP_MILLIS; step++) {
            step();
            for (SimulatedDutyVm vm : vms) {
                if (vm.mayAct().filter(acts.highest()::equals).isPresent()
                        && acts.highest().isAfter(ended)) {
                    ended = acts.highest();
                    vm.cutFor(duration());
                    endLeasesAfter(0);
                }
            }
        }
    }

    /** Ends all faults. */
    void heal() {
        vms.forEach(SimulatedDutyVm::heal);
        storeBackAt = now();
        leasesEndAt = Long.MAX_VALUE;
        nextDrillAt = Long.MAX_VALUE;
    }

    /** Lets the store be away for a time, at whose end all leases have ended; no call may fail in a time of 0. */
    void endLeasesAfter(long awayMillis) {
        storeBackAt = Math.max(storeBackAt, now() + awayMillis);
        leasesEndAt = storeBackAt;
    }

    /** Brings the store back from a copy that is up to six seconds old. */
    void drill() {
        int age = random.nextInt(copies.size());
        store.returnOlder(copies.stream().skip(age).findFirst().orElseThrow());
    }

    long now() {
        return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime());
    }

    private void step() {
        clock.advance(Duration.ofMillis(STEP_MILLIS));
        store.setDown(now() < storeBackAt);
        if (now() >= leasesEndAt) {
            leasesEndAt = Long.MAX_VALUE;
            store.lapseAllLeases();
        }
        copies.addLast(store.copy());
        if (copies.size() > COPIES) {
            copies.removeFirst();
        }
        if (now() >= nextDrillAt) {
            nextDrillAt = Long.MAX_VALUE;
            drill();
        }
        // Writes of upstreams, so that revisions go on while the duties do not change.
        store.write("servers/1", new byte[0]);
        vms.forEach(SimulatedDutyVm::step);
        Map<VmId, FencingNumber> acting = new HashMap<>();
        vms.forEach(vm -> vm.mayAct().ifPresent(number -> acting.put(vm.vm(), number)));
        acts.record(now(), acting);
    }

    private void beginFaults() {
        if (begins()) {
            target().pauseFor(duration());
        }
        if (begins()) {
            target().cutFor(duration());
        }
        if (begins()) {
            target().loseResponsesFor(duration());
        }
        if (begins()) {
            target().delayTransactionsFor(duration());
        }
        if (begins()) {
            target().restart();
        }
        if (begins()) {
            target().shutDownFor(duration());
        }
        if (begins()) {
            storeBackAt = now() + duration();
        }
        if (begins()) {
            if (random.nextBoolean()) {
                target().cutFor(duration());
            }
            endLeasesAfter(random.nextBoolean() ? 0 : random.nextLong(LONGEST_LEASE_LOSS_MILLIS));
        }
        if (begins()) {
            store.discardHistory();
        }
        if (begins()) {
            drill();
            nextDrillAt = random.nextBoolean() ? now() + random.nextInt(SERIES_MILLIS) : Long.MAX_VALUE;
        }
    }

    private boolean begins() {
        return random.nextInt(STEPS_BETWEEN_FAULTS) == 0;
    }

    private long duration() {
        return random.nextLong(LONGEST_FAULT_MILLIS);
    }

    /** Returns the VM that may act, half of the time, else any. */
    private SimulatedDutyVm target() {
        return vms.stream()
                .filter(vm -> vm.mayAct().isPresent() && random.nextBoolean())
                .findFirst()
                .orElseGet(() -> vms.get(random.nextInt(vms.size())));
    }
}
