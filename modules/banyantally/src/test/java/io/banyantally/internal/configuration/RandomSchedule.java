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
 * One random sequence of operations and faults on 5 VMs. Further events are nested in an operation: before and after a
 * call to the key-value service takes effect, and before a request to a peer.
 */
final class RandomSchedule {

    private static final int VMS = 5;
    private static final int ACTIONS = 24;
    private static final int MAXIMUM_NESTING_DEPTH = 2;

    private final SplittableRandom random;
    private final TestSite site;
    private final ScheduleChecks checks;
    private final List<IssuedKey> keys = new ArrayList<>();
    private final Set<VmId> vmsInOperation = new HashSet<>();
    private final Set<VmId> withoutPlatform = new HashSet<>();
    private final int storeFaultsPerThousand;
    private boolean platformDown;
    private boolean recovering;
    private int nestingDepth;
    private int accountCount;

    RandomSchedule(long seed) throws Exception {
        random = new SplittableRandom(seed);
        storeFaultsPerThousand = random.nextInt(60);
        site = TestSite.running(VMS, seed);
        checks = new ScheduleChecks(site);
        keys.add(site.issueKey(0));
        for (TestVm vm : site.running()) {
            vm.store.setPlan(faultPlan(vm));
        }
        site.beforeRequest = (vm, topic) -> maybeRunNestedAction();
    }

    /** Runs the schedule, then ends all faults and checks recovery; returns the number of accepted withdrawals. */
    int run() throws Exception {
        for (int action = 0; action < ACTIONS; action++) {
            runRandomAction();
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

    private StoreFaultPlan faultPlan(TestVm vm) {
        return (operation, key, after) -> {
            maybeRunNestedAction();
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
            return random.nextInt(1000) < storeFaultsPerThousand
                    ? faults[random.nextInt(faults.length)]
                    : StoreFault.NONE;
        };
    }

    /** Occasionally runs another random action in the middle of a call. */
    private void maybeRunNestedAction() {
        if (recovering || nestingDepth >= MAXIMUM_NESTING_DEPTH || random.nextInt(60) != 0) {
            return;
        }
        nestingDepth++;
        try {
            runRandomAction();
            checks.check();
        } finally {
            nestingDepth--;
        }
    }

    private void runRandomAction() {
        switch (random.nextInt(16)) {
            case 0, 1 -> change();
            case 2 -> issueKey();
            case 3, 4, 5 -> withdrawKey();
            case 6 -> site.clock.advance(Duration.ofMillis(random.nextInt(2_500)));
            case 7 -> withIdleVm(vm -> vm.setPaused(random.nextBoolean()));
            case 8 -> restart();
            case 9 -> platformDown = random.nextInt(3) != 0;
            case 10 -> withIdleVm(vm -> withoutPlatform.add(vm.id()));
            case 11 -> withoutPlatform.clear();
            case 12 -> withIdleVm(vm -> site.hub.isolate(vm.id()));
            case 13 -> site.hub.cutOneWay(TestSite.vmId(random.nextInt(VMS)), TestSite.vmId(random.nextInt(VMS)));
            case 14 -> site.hub.restoreAll();
            default -> changeRoster();
        }
    }

    private void withIdleVm(java.util.function.Consumer<TestVm> action) {
        TestVm vm = site.vm(random.nextInt(VMS));
        if (!vmsInOperation.contains(vm.id())) {
            action.accept(vm);
        }
    }

    private void restart() {
        int index = random.nextInt(VMS);
        site.kill(index);
        TestVm vm = site.start(index);
        vm.store.setPlan(faultPlan(vm));
    }

    private void change() {
        ClientAccountId account = new ClientAccountId("account-" + ++accountCount);
        ClientAccountParameters parameters =
                new ClientAccountParameters(account, Set.of(), Set.of(), Set.of(), 1, 1, 1, 1, 1);
        runOnRandomVm(vm -> {
            try {
                ChangeOutcome outcome =
                        vm.part.editor().change(vm.replica().revision(), ConfigurationChange.put(parameters));
                checks.recordWrittenChange(account, outcome.revision());
            } catch (ConfigurationNotWrittenException refused) {
                checks.recordUnwrittenChange(parameters);
            }
        });
    }

    private void issueKey() {
        runOnRandomVm(vm ->
                keys.add(vm.part.editor().issueKey(vm.replica().revision(), site.keys.generate(TestSite.ACCOUNT))));
    }

    private void withdrawKey() {
        IssuedKey key = keys.get(random.nextInt(keys.size()));
        runOnRandomVm(vm -> checks.recordWithdrawal(
                key, vm.part.editor().withdrawKey(vm.replica().revision(), key.id())));
    }

    private void changeRoster() {
        VmId member = TestSite.vmId(random.nextInt(VMS));
        boolean add = random.nextBoolean();
        runOnRandomVm(vm -> {
            if (add) {
                vm.part.roster().add(member);
            } else {
                vm.part.roster().remove(member);
            }
        });
    }

    private void runOnRandomVm(Operation operation) {
        TestVm vm = site.vm(random.nextInt(VMS));
        boolean first = vmsInOperation.add(vm.id());
        try {
            vm.runUntilKilled(() -> runOperation(vm, operation));
        } finally {
            if (first) {
                vmsInOperation.remove(vm.id());
            }
        }
    }

    private void runOperation(TestVm vm, Operation operation) {
        try {
            operation.run(vm);
        } catch (ConfigurationConflictException
                | ConfigurationNotWrittenException
                | ConfigurationOutcomeUnknownException failure) {
            // The operator is told of the failure; the checks rely only on changes known to be written.
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
