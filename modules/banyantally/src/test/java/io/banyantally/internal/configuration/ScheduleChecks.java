package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What must hold at every moment of a schedule, by the test's own clock and record of outcomes. */
final class ScheduleChecks {

    private final TestSite site;
    private final Map<Incarnation, Revision> highest = new HashMap<>();
    private final Map<ClientAccountId, Revision> written = new HashMap<>();
    private final List<ClientAccountParameters> notWritten = new ArrayList<>();
    private final List<Withdrawal> withdrawals = new ArrayList<>();

    ScheduleChecks(TestSite site) {
        this.site = site;
    }

    void changeWritten(ClientAccountId account, Revision revision) {
        written.put(account, revision);
    }

    void changeNotWritten(ClientAccountParameters account) {
        notWritten.add(account);
    }

    void withdrawalWritten(IssuedKey key, ChangeOutcome outcome) {
        withdrawals.add(new Withdrawal(key, outcome.revision(), outcome.confirmed(), site.clock.nanoTime()));
    }

    int acceptedWithdrawals() {
        return (int) withdrawals.stream().filter(Withdrawal::accepted).count();
    }

    void check() {
        for (TestVm vm : site.running()) {
            Configuration configuration = vm.replica().current();
            checkOrder(vm, configuration);
            written.forEach((account, revision) -> require(
                    revision.isAfter(configuration.revision())
                            || configuration.accounts().containsKey(account),
                    vm,
                    "lost " + account + " of revision " + revision));
            notWritten.forEach(account -> require(
                    !configuration.accounts().containsValue(account),
                    vm,
                    "has " + account + ", reported as not written"));
            withdrawals.forEach(withdrawal -> checkWithdrawal(vm, configuration, withdrawal));
        }
    }

    private void checkOrder(TestVm vm, Configuration configuration) {
        Revision before = highest.getOrDefault(vm.self().incarnation(), Revision.NONE);
        require(!before.isAfter(configuration.revision()), vm, "went back from revision " + before);
        highest.put(vm.self().incarnation(), configuration.revision());
        require(vm.reverts() == 0, vm, "saw the platform revert");
    }

    private void checkWithdrawal(TestVm vm, Configuration configuration, Withdrawal withdrawal) {
        require(
                withdrawal.revision().isAfter(configuration.revision())
                        || !configuration.keys().containsKey(withdrawal.key().id()),
                vm,
                "has key " + withdrawal.key().id() + " again");
        boolean overdue = withdrawal.accepted()
                && site.clock.nanoTime() - withdrawal.answeredAt() > ConfigurationReplica.PROOF_LIMIT.toNanos();
        if (overdue) {
            require(
                    !vm.serves(withdrawal.key().text()),
                    vm,
                    "serves key " + withdrawal.key().id() + " over 2 s after its withdrawal at revision "
                            + withdrawal.revision() + " was accepted");
        }
    }

    private static void require(boolean holds, TestVm vm, String problem) {
        if (!holds) {
            throw new AssertionError(
                    vm.id() + " at revision " + vm.replica().current().revision() + " " + problem);
        }
    }

    private record Withdrawal(IssuedKey key, Revision revision, boolean accepted, long answeredAt) {}
}
