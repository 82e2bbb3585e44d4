package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Revision;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreFaultPlan;
import java.time.Duration;
import java.util.Set;

/** Runs a change and a withdrawal on 5 VMs with faults injected at one point; checks before and after recovery. */
final class FaultMatrix {

    private static final int WRITER = 0;
    private static final int OTHER_WRITER = 1;
    private static final int FAULTY_VM = 2;
    private static final ClientAccountId CHANGED = new ClientAccountId("changed");

    private final TestSite site;
    private final ScheduleChecks checks;
    private final TestVm writer;
    private final InjectionPoint injectionPoint;
    private final InjectedFault[] faults;
    private StoreFault storeFault = StoreFault.NONE;
    private boolean armed;
    private boolean injected;
    private int requests;

    private FaultMatrix(InjectionPoint step, InjectedFault... faults) throws Exception {
        this.injectionPoint = step;
        this.faults = faults;
        site = TestSite.running(5);
        checks = new ScheduleChecks(site);
        writer = site.vm(WRITER);
    }

    /** Injects the faults into a change and, in a new site, into a withdrawal. */
    static void run(InjectionPoint step, InjectedFault... faults) throws Exception {
        new FaultMatrix(step, faults).change();
        new FaultMatrix(step, faults).withdrawal();
    }

    private void change() throws Exception {
        arm();
        writer.runUntilKilled(() -> {
            try {
                ChangeOutcome outcome = writer.part
                        .editor()
                        .change(writer.replica().revision(), ConfigurationChange.put(parameters(CHANGED, 7)));
                checks.recordWrittenChange(CHANGED, outcome.revision());
            } catch (ConfigurationNotWrittenException refused) {
                checks.recordUnwrittenChange(parameters(CHANGED, 7));
            } catch (ConfigurationConflictException | ConfigurationOutcomeUnknownException refused) {
                checks.check();
            }
        });
        finish();
    }

    private void withdrawal() throws Exception {
        IssuedKey key = site.issueKey(WRITER);
        site.tick();
        arm();
        writer.runUntilKilled(() -> {
            try {
                checks.recordWithdrawal(key, site.withdrawKey(WRITER, key));
            } catch (Exception refused) {
                if (refused instanceof RuntimeException failure) {
                    throw failure;
                }
                checks.check();
            }
        });
        finish();
        IssuedKey newKey = site.issueKey(OTHER_WRITER);
        site.tick();
        site.running()
                .forEach(vm -> require(vm.serves(newKey.text()), vm.id() + " refuses a key issued after recovery"));
    }

    private static ClientAccountParameters parameters(ClientAccountId account, int priority) {
        return new ClientAccountParameters(account, Set.of(), Set.of(), Set.of(), priority, 1, 1, 1, 1);
    }

    private void arm() {
        armed = true;
        writer.store.setPlan((operation, key, after) -> {
            if (armed && injectionPoint.matchesStoreCall(operation, key, after)) {
                inject();
                return storeFault;
            }
            return StoreFault.NONE;
        });
        site.beforeRequest = (vm, topic) -> {
            if (armed && vm.equals(writer.id()) && injectionPoint.matchesPeerRequest(++requests)) {
                inject();
            }
        };
    }

    private void inject() {
        armed = false;
        injected = true;
        for (InjectedFault fault : faults) {
            try {
                inject(fault);
            } catch (ConfigurationConflictException
                    | ConfigurationNotWrittenException
                    | ConfigurationOutcomeUnknownException failure) {
                // The first fault made the other operator's change fail; the state must still be valid.
                checks.check();
            }
            checks.check();
        }
        if (writer.isKilled()) {
            throw new KilledException();
        }
    }

    private void inject(InjectedFault fault)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        switch (fault) {
            case WRITER_KILLED -> {
                if (!writer.isKilled()) {
                    site.kill(WRITER);
                }
            }
            case WRITER_PAUSED -> {
                writer.setPaused(true);
                site.tick(ConfigurationReplica.MAXIMUM_PROOF_AGE.plusSeconds(1));
                writer.setPaused(false);
            }
            case PLATFORM_DOWN -> site.setPlatformFaults(TestSite.UNAVAILABLE);
            case PLATFORM_SLOW -> site.clock.advance(Duration.ofMillis(900));
            case REQUEST_LOST -> setStoreFault(StoreFault.LOST_REQUEST);
            case ANSWER_LOST -> setStoreFault(StoreFault.LOST_ANSWER);
            case SAME_ENTRY_RACE -> changeFromOtherWriter(CHANGED);
            case OTHER_ENTRY_RACE -> changeFromOtherWriter(new ClientAccountId("other"));
            case VM_CUT_FROM_PLATFORM -> site.vm(FAULTY_VM).store.setPlan(TestSite.UNAVAILABLE);
            case VM_CUT_FROM_PEERS -> site.hub.isolate(TestSite.vmId(FAULTY_VM));
            case VM_CUT_FROM_ALL -> {
                site.vm(FAULTY_VM).store.setPlan(TestSite.UNAVAILABLE);
                site.hub.isolate(TestSite.vmId(FAULTY_VM));
            }
            case VM_RESTARTED_WITH_OUTDATED_PEER_ONLY -> restartWithOutdatedPeerOnly();
            case ROSTER_CHANGES -> site.vm(OTHER_WRITER).part.roster().remove(TestSite.vmId(4));
        }
    }

    /** Restarts a VM that then reaches only one peer; neither of the two reaches the platform or any other VM. */
    private void restartWithOutdatedPeerOnly() {
        site.kill(FAULTY_VM);
        TestVm restarted = site.start(FAULTY_VM);
        restarted.store.setPlan(TestSite.UNAVAILABLE);
        site.vm(3).store.setPlan(TestSite.UNAVAILABLE);
        for (int other : new int[] {0, 1, 4}) {
            site.hub.cut(TestSite.vmId(other), TestSite.vmId(FAULTY_VM));
            site.hub.cut(TestSite.vmId(other), TestSite.vmId(3));
        }
        restarted.runTasksOnce();
    }

    private void setStoreFault(StoreFault fault) {
        storeFault = fault;
    }

    private void changeFromOtherWriter(ClientAccountId account)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        TestVm other = site.vm(OTHER_WRITER);
        other.part.editor().change(other.replica().revision(), ConfigurationChange.put(parameters(account, 3)));
    }

    private void finish() throws Exception {
        for (int tick = 0; tick < 15; tick++) {
            site.tick();
            checks.check();
        }
        armed = false;
        if (!site.vms.containsKey(TestSite.vmId(WRITER))) {
            site.start(WRITER);
        }
        site.hub.restoreAll();
        site.setPlatformFaults(StoreFaultPlan.NONE);
        site.tick(Duration.ofSeconds(5));
        checks.check();
        Revision expected = site.vm(OTHER_WRITER).replica().revision();
        for (TestVm vm : site.running()) {
            require(vm.replica().isProven(), vm.id() + " has no proof 5 s after recovery");
            require(vm.replica().revision().equals(expected), vm.id() + " has another revision 5 s after recovery");
        }
        require(injected, "no fault was injected at " + injectionPoint);
    }

    private static void require(boolean holds, String problem) {
        if (!holds) {
            throw new AssertionError(problem);
        }
    }
}
