package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreFaultPlan;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One random course of events over 5 VMs. Events also strike in the middle of others: before and after a call to the
 * key-value service takes effect, and before a request to a peer.
 */
final class RandomSchedule {

    private static final int VMS = 5;
    private static final int ACTIONS = 24;
    private static final int MAXIMUM_DEPTH = 2;

    private final SplittableRandom random;
    private final TestSite site;
    private final ScheduleChecks checks;
    private final List<IssuedKey> keys = new ArrayList<>();
    private final Set<VmId> busy = new HashSet<>();
    private final Set<VmId> withoutPlatform = new HashSet<>();
    private final int faultsInThousand;
    private boolean platformDown;
    private boolean recovering;
    private int depth;
    private int accounts;

    RandomSchedule(long seed) throws Exception {
        random = new SplittableRandom(seed);
        faultsInThousand = random.nextInt(60);
        site = TestSite.running(VMS, seed);
        checks = new ScheduleChecks(site);
        keys.add(site.give(0));
        for (TestVm vm : site.running()) {
            vm.store.setPlan(planOf(vm));
        }
        site.beforeRequest = (vm, topic) -> interrupt();
    }

    /** Runs the schedule and then lets everything recover; returns how many withdrawals were accepted. */
    int run() throws Exception {
        for (int action = 0; action < ACTIONS; action++) {
            act();
            site.tick();
            checks.check();
        }
        recover();
        return checks.acceptedWithdrawals();
    }

    private void recover() {
        recovering = true;
        platformDown = false;
        withoutPlatform.clear();
        site.hub.restoreAll();
        site.running().forEach(vm -> vm.setPaused(false));
        site.tick(Duration.ofSeconds(5));
        checks.check();
        VmId first = site.running().getFirst().id();
        for (TestVm vm : site.running()) {
            if (!vm.replica().isProven()) {
                throw new AssertionError(vm.id() + " has no proof 5 s after everything recovered");
            }
            if (!vm.replica().revision().equals(site.vms.get(first).replica().revision())) {
                throw new AssertionError(vm.id() + " has another revision than " + first + " 5 s after recovery");
            }
        }
    }

    private StoreFaultPlan planOf(TestVm vm) {
        return (operation, key, after) -> {
            interrupt();
            if (vm.isKilled()) {
                throw new KilledException();
            }
            if (recovering) {
                return StoreFault.NONE;
            }
            if (platformDown || withoutPlatform.contains(vm.id())) {
                return random.nextInt(4) == 0 ? StoreFault.LOST_REQUEST : StoreFault.UNAVAILABLE;
            }
            StoreFault[] faults = StoreFault.values();
            return random.nextInt(1000) < faultsInThousand ? faults[random.nextInt(faults.length)] : StoreFault.NONE;
        };
    }

    /** Lets other events happen in the middle of a call. */
    private void interrupt() {
        if (recovering || depth >= MAXIMUM_DEPTH || random.nextInt(60) != 0) {
            return;
        }
        depth++;
        try {
            act();
            checks.check();
        } finally {
            depth--;
        }
    }

    private void act() {
        switch (random.nextInt(16)) {
            case 0, 1 -> change();
            case 2 -> give();
            case 3, 4, 5 -> withdraw();
            case 6 -> site.clock.advance(Duration.ofMillis(random.nextInt(2_500)));
            case 7 -> withVm(vm -> vm.setPaused(random.nextBoolean()));
            case 8 -> restart();
            case 9 -> platformDown = random.nextInt(3) != 0;
            case 10 -> withVm(vm -> withoutPlatform.add(vm.id()));
            case 11 -> withoutPlatform.clear();
            case 12 -> withVm(vm -> site.hub.isolate(vm.id()));
            case 13 -> site.hub.cutOneWay(TestSite.name(random.nextInt(VMS)), TestSite.name(random.nextInt(VMS)));
            case 14 -> site.hub.restoreAll();
            default -> changeRoster();
        }
    }

    private void withVm(java.util.function.Consumer<TestVm> action) {
        TestVm vm = site.vm(random.nextInt(VMS));
        if (!busy.contains(vm.id())) {
            action.accept(vm);
        }
    }

    private void restart() {
        int index = random.nextInt(VMS);
        site.kill(index);
        TestVm vm = site.start(index);
        vm.store.setPlan(planOf(vm));
    }

    private void change() {
        ClientAccountId account = new ClientAccountId("account-" + ++accounts);
        ClientAccountParameters parameters =
                new ClientAccountParameters(account, Set.of(), Set.of(), Set.of(), 1, 1, 1, 1, 1);
        operate(vm -> {
            try {
                ChangeOutcome outcome =
                        vm.part.editor().change(vm.replica().revision(), ConfigurationChange.put(parameters));
                checks.changeWritten(account, outcome.revision());
            } catch (ConfigurationNotWrittenException refused) {
                checks.changeNotWritten(parameters);
            }
        });
    }

    private void give() {
        operate(vm ->
                keys.add(vm.part.editor().issueKey(vm.replica().revision(), site.keys.generate(TestSite.ACCOUNT))));
    }

    private void withdraw() {
        IssuedKey key = keys.get(random.nextInt(keys.size()));
        operate(vm -> checks.withdrawalWritten(
                key, vm.part.editor().withdrawKey(vm.replica().revision(), key.id())));
    }

    private void changeRoster() {
        VmId member = TestSite.name(random.nextInt(VMS));
        boolean add = random.nextBoolean();
        operate(vm -> {
            if (add) {
                vm.part.roster().add(member);
            } else {
                vm.part.roster().remove(member);
            }
        });
    }

    private void operate(Operation operation) {
        TestVm vm = site.vm(random.nextInt(VMS));
        boolean first = busy.add(vm.id());
        try {
            vm.untilKilled(() -> runOperation(vm, operation));
        } finally {
            if (first) {
                busy.remove(vm.id());
            }
        }
    }

    private void runOperation(TestVm vm, Operation operation) {
        try {
            operation.run(vm);
        } catch (ConfigurationConflictException
                | ConfigurationNotWrittenException
                | ConfigurationOutcomeUnknownException failure) {
            // The operator learns of the failure; the checks go on with what is known to be written.
            checks.check();
        }
    }

    @FunctionalInterface
    private interface Operation {

        void run(TestVm vm)
                throws ConfigurationConflictException, ConfigurationNotWrittenException,
                        ConfigurationOutcomeUnknownException;
    }
}
