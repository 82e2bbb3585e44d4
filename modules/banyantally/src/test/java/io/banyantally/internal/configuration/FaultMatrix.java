package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Revision;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreFaultPlan;
import java.time.Duration;
import java.util.Set;

/** Runs a change and a withdrawal over 5 VMs with one or two faults at a step, and checks before and after recovery. */
final class FaultMatrix {

    private static final int WRITER = 0;
    private static final int OTHER = 1;
    private static final int VICTIM = 2;
    private static final ClientAccountId CHANGED = new ClientAccountId("changed");

    private final TestSite site;
    private final ScheduleChecks checks;
    private final TestVm writer;
    private final MatrixStep step;
    private final MatrixFault[] faults;
    private StoreFault answer = StoreFault.NONE;
    private boolean armed;
    private boolean struck;
    private int requests;

    private FaultMatrix(MatrixStep step, MatrixFault... faults) throws Exception {
        this.step = step;
        this.faults = faults;
        site = TestSite.running(5);
        checks = new ScheduleChecks(site);
        writer = site.vm(WRITER);
    }

    /** Runs one row for a change and one for a withdrawal. */
    static void run(MatrixStep step, MatrixFault... faults) throws Exception {
        new FaultMatrix(step, faults).change();
        new FaultMatrix(step, faults).withdrawal();
    }

    private void change() throws Exception {
        arm();
        writer.untilKilled(() -> {
            try {
                ChangeOutcome outcome = writer.part
                        .editor()
                        .change(writer.replica().revision(), ConfigurationChange.put(parameters(CHANGED, 7)));
                checks.changeWritten(CHANGED, outcome.revision());
            } catch (ConfigurationNotWrittenException refused) {
                checks.changeNotWritten(parameters(CHANGED, 7));
            } catch (ConfigurationConflictException | ConfigurationOutcomeUnknownException refused) {
                checks.check();
            }
        });
        finish();
    }

    private void withdrawal() throws Exception {
        IssuedKey key = site.give(WRITER);
        site.tick();
        arm();
        writer.untilKilled(() -> {
            try {
                checks.withdrawalWritten(key, site.withdraw(WRITER, key));
            } catch (Exception refused) {
                if (refused instanceof RuntimeException failure) {
                    throw failure;
                }
                checks.check();
            }
        });
        finish();
        IssuedKey later = site.give(OTHER);
        site.tick();
        site.running().forEach(vm -> require(vm.serves(later.text()), vm.id() + " refuses a key given after recovery"));
    }

    private static ClientAccountParameters parameters(ClientAccountId account, int priority) {
        return new ClientAccountParameters(account, Set.of(), Set.of(), Set.of(), priority, 1, 1, 1, 1);
    }

    private void arm() {
        armed = true;
        writer.store.setPlan((operation, key, after) -> {
            if (armed && step.isAt(operation, key, after)) {
                strike();
                return answer;
            }
            return StoreFault.NONE;
        });
        site.beforeRequest = (vm, topic) -> {
            if (armed && vm.equals(writer.id()) && step.isAtRequest(++requests)) {
                strike();
            }
        };
    }

    private void strike() {
        armed = false;
        struck = true;
        for (MatrixFault fault : faults) {
            try {
                strike(fault);
            } catch (ConfigurationConflictException
                    | ConfigurationNotWrittenException
                    | ConfigurationOutcomeUnknownException failure) {
                // The other operator's change failed because of the first fault; its checks follow.
                checks.check();
            }
            checks.check();
        }
        if (writer.isKilled()) {
            throw new KilledException();
        }
    }

    private void strike(MatrixFault fault)
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
                site.tick(ConfigurationReplica.PROOF_LIMIT.plusSeconds(1));
                writer.setPaused(false);
            }
            case PLATFORM_DOWN -> site.setPlatform(TestSite.DOWN);
            case PLATFORM_SLOW -> site.clock.advance(Duration.ofMillis(900));
            case REQUEST_LOST -> loseOnce(StoreFault.LOST_REQUEST);
            case ANSWER_LOST -> loseOnce(StoreFault.LOST_ANSWER);
            case SAME_ENTRY_RACE -> race(CHANGED);
            case OTHER_ENTRY_RACE -> race(new ClientAccountId("other"));
            case VM_CUT_FROM_PLATFORM -> site.vm(VICTIM).store.setPlan(TestSite.DOWN);
            case VM_CUT_FROM_PEERS -> site.hub.isolate(TestSite.name(VICTIM));
            case VM_CUT_FROM_ALL -> {
                site.vm(VICTIM).store.setPlan(TestSite.DOWN);
                site.hub.isolate(TestSite.name(VICTIM));
            }
            case VM_RESTARTED_BESIDE_AN_OLD_PEER -> restartBesideOldPeer();
            case ROSTER_CHANGES -> site.vm(OTHER).part.roster().remove(TestSite.name(4));
        }
    }

    /** Lets the restarted VM reach one peer alone, which reaches nobody else, and not the platform. */
    private void restartBesideOldPeer() {
        site.kill(VICTIM);
        TestVm restarted = site.start(VICTIM);
        restarted.store.setPlan(TestSite.DOWN);
        site.vm(3).store.setPlan(TestSite.DOWN);
        for (int other : new int[] {0, 1, 4}) {
            site.hub.cut(TestSite.name(other), TestSite.name(VICTIM));
            site.hub.cut(TestSite.name(other), TestSite.name(3));
        }
        restarted.step();
    }

    private void loseOnce(StoreFault fault) {
        answer = fault;
    }

    private void race(ClientAccountId account)
            throws ConfigurationConflictException, ConfigurationNotWrittenException,
                    ConfigurationOutcomeUnknownException {
        TestVm other = site.vm(OTHER);
        other.part.editor().change(other.replica().revision(), ConfigurationChange.put(parameters(account, 3)));
    }

    private void finish() throws Exception {
        for (int tick = 0; tick < 15; tick++) {
            site.tick();
            checks.check();
        }
        armed = false;
        if (!site.vms.containsKey(TestSite.name(WRITER))) {
            site.start(WRITER);
        }
        site.hub.restoreAll();
        site.setPlatform(StoreFaultPlan.NONE);
        site.tick(Duration.ofSeconds(5));
        checks.check();
        Revision expected = site.vm(OTHER).replica().revision();
        for (TestVm vm : site.running()) {
            require(vm.replica().isProven(), vm.id() + " has no proof 5 s after recovery");
            require(vm.replica().revision().equals(expected), vm.id() + " has another revision 5 s after recovery");
        }
        require(struck, "the fault never struck at " + step);
    }

    private static void require(boolean holds, String problem) {
        if (!holds) {
            throw new AssertionError(problem);
        }
    }
}
