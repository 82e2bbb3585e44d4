package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.model.Incarnation;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** One row for each guard of the freshness proof; the row fails when its guard is removed. */
final class ProofGuardTest {

    private static final Duration STEP = Duration.ofMillis(100);

    private IssuedKey withdrawn;

    /** Guards against a keyed request that is served after a pause on the strength of a proof from before it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "key check", fault = "VM paused longer than the proof")
    void pauseEndsTheProofBeforeTheNextKeyedRequest() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        TestVm vm = site.vm(2);
        vm.setPaused(true);
        assertTrue(site.withdraw(0, key).confirmed());
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        vm.setPaused(false);
        assertEquals(Reason.NOT_PROVEN, vm.refusal(key.text()));
    }

    /** Guards against a proof that counts from the arrival of a slow answer of the platform. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "watch", fault = "platform slow")
    void proofCountsFromBeforeThePlatformWasAsked() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        TestVm vm = site.vm(2);
        site.hub.isolate(vm.id());
        site.clock.advance(Duration.ofSeconds(3));
        vm.store.setPlan((operation, name, after) -> {
            if (operation == StoreOperation.AWAIT_CHANGE && after) {
                site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
            }
            return StoreFault.NONE;
        });
        vm.step();
        assertEquals(Reason.NOT_PROVEN, vm.refusal(key.text()));
    }

    /** Guards against a proof through a peer that looks younger than it is. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "proof through a peer", fault = "old proof")
    void proofThroughAPeerKeepsItsAge() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        site.setPlatform(TestSite.DOWN);
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.minus(STEP));
        site.vm(2).part.exchange().ask(TestSite.name(0));
        site.clock.advance(STEP.multipliedBy(2));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusal(key.text()));
    }

    /** Guards against a proof through a peer that counts from the arrival of a slow answer. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "proof through a peer", fault = "network slow")
    void proofThroughAPeerCountsFromBeforeTheQuestion() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        TestVm vm = site.vm(2);
        vm.store.setPlan(TestSite.DOWN);
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        site.vm(0).step();
        site.afterRequest = (sender, topic) -> site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        vm.part.exchange().ask(TestSite.name(0));
        assertEquals(Reason.NOT_PROVEN, vm.refusal(key.text()));
    }

    /** Guards against a majority's proof that counts from the arrival of slow answers. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "platform down and network slow")
    void majorityProofCountsFromBeforeTheQuestion() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.give(0);
        site.tick();
        site.setPlatform(TestSite.DOWN);
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        site.afterRequest = (sender, topic) -> site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        site.vm(2).part.exchange().ask(TestSite.name(0));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusal(key.text()));
    }

    /** Guards against a majority whose order depends on a clock that moves while it is sorted; 200 VMs showed it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "clock moves during the sort")
    void majorityOfManyVmsIsSortedByOneReadingOfTheClock() throws Exception {
        TestSite site = TestSite.running(101);
        TestVm vm = site.vm(0);
        site.clock.advance(Duration.ofSeconds(3));
        long base = vm.nanoTime();
        site.clockStep = Duration.ofNanos(1_000);
        for (int index = 1; index < 101; index++) {
            long askedAt = base + index * 37 % 101;
            Incarnation incarnation = site.vm(index).self().incarnation();
            vm.replica()
                    .noteContact(
                            TestSite.name(index),
                            new PeerContact(incarnation, askedAt, vm.replica().revision(), true, false));
        }
        assertEquals(Optional.of(base + 51), vm.replica().state().majorityProof());
    }

    /** Guards against a majority that includes a VM whose higher revision this VM has not applied. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "newer revision can't be fetched")
    void memberWithAHigherRevisionDoesNotCount() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.give(0);
        site.tick();
        site.setPlatform(TestSite.DOWN);
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        ConfigurationReplica replica = site.vm(2).replica();
        site.vm(2).part.exchange().ask(TestSite.name(0));
        assertTrue(site.vm(2).serves(key.text()));
        site.clock.advance(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        long now = site.vm(2).nanoTime();
        replica.noteContact(
                TestSite.name(0),
                new PeerContact(
                        site.vm(0).self().incarnation(), now, replica.revision().next(), true, false));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusal(key.text()));
    }

    /** Guards against a proof of a revision that this VM could not fetch. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "propagation", fault = "buckets can't be read")
    void proofOfARevisionThatIsNotAppliedDoesNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        TestVm vm = site.vm(2);
        site.hub.isolate(vm.id());
        vm.store.setPlan(
                (operation, name, after) -> operation == StoreOperation.GET ? StoreFault.UNAVAILABLE : StoreFault.NONE);
        assertTrue(site.withdraw(0, key).confirmed());
        vm.replica().creditPlatform(site.vm(0).replica().revision(), site.clock.nanoTime() + 1_000_000_000_000L);
        site.tick(ConfigurationReplica.PROOF_LIMIT.plus(STEP));
        assertEquals(Reason.NOT_PROVEN, vm.refusal(key.text()));
    }

    /** Guards against a minority that serves keyed requests while the platform is down. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "platform down and VMs cut off")
    void minorityOfTheRosterHasNoProof() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        site.setPlatform(TestSite.DOWN);
        for (int other = 2; other < 5; other++) {
            site.hub.cut(TestSite.name(0), TestSite.name(other));
            site.hub.cut(TestSite.name(1), TestSite.name(other));
        }
        site.tick(Duration.ofSeconds(3));
        assertEquals(Reason.NOT_PROVEN, site.vm(0).refusal(key.text()));
        assertEquals(Reason.NOT_PROVEN, site.vm(1).refusal(key.text()));
        assertTrue(site.vm(2).serves(key.text()));
    }

    /** Guards against a majority in which a restarted VM stands for a withdrawal that it has forgotten. */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "majority proof",
            fault = "VM restarted, learning first from an old peer, platform down")
    void restartedVmDoesNotCountInAMajorityBeforeItHasAProof() throws Exception {
        TestSite site = oldMinorityAfterWithdrawal();
        restartBesideOldPeers(site);
        site.tick(Duration.ofSeconds(5));
        for (int index : new int[] {0, 3, 4}) {
            assertFalse(site.vm(index).serves(withdrawn.text()), "vm-" + index + " serves the withdrawn key");
        }
    }

    /** Guards against a restarted VM that counts in a majority by a peer's proof from before its start. */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "majority proof",
            fault = "VM restarted beside an old peer whose proof from the platform is older than the restart")
    void proofFromBeforeTheStartDoesNotMakeAVmCount() throws Exception {
        TestSite site = oldMinorityAfterWithdrawal();
        TestVm restarted = restartBesideOldPeers(site);
        restarted.part.exchange().ask(TestSite.name(3));
        assertTrue(restarted.replica().isProven(), "the old proof is still fresh");
        assertFalse(restarted.replica().isVoter());
        site.tick(Duration.ofSeconds(5));
        assertFalse(restarted.serves(withdrawn.text()));
    }

    /** Withdraws a key while VMs 3 and 4 are cut off with a proof that is still fresh; then takes the platform down. */
    private TestSite oldMinorityAfterWithdrawal() throws Exception {
        TestSite site = TestSite.running(5);
        withdrawn = site.give(0);
        site.tick();
        for (int index = 0; index < 3; index++) {
            cutFromNewer(site, index);
        }
        site.vm(3).store.setPlan(TestSite.DOWN);
        site.vm(4).store.setPlan(TestSite.DOWN);
        assertTrue(site.withdraw(0, withdrawn).confirmed());
        site.setPlatform(TestSite.DOWN);
        return site;
    }

    private static void cutFromNewer(TestSite site, int index) {
        for (int other : new int[] {3, 4}) {
            site.hub.cut(TestSite.name(index), TestSite.name(other));
        }
    }

    /** Lets the restarted VM 0 reach only VMs 3 and 4, which have not heard of the withdrawal. */
    private static TestVm restartBesideOldPeers(TestSite site) {
        site.kill(0);
        TestVm restarted = site.start(0);
        restarted.store.setPlan(TestSite.DOWN);
        site.hub.restoreAll();
        for (int newer : new int[] {1, 2}) {
            site.hub.cut(TestSite.name(0), TestSite.name(newer));
            cutFromNewer(site, newer);
        }
        return restarted;
    }
}
