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

/** One test for each safety check of the freshness proof; the test fails if its check is removed. */
final class ProofGuardTest {

    private static final Duration STEP = Duration.ofMillis(100);

    private IssuedKey withdrawnKey;

    /** Guards against accepting a key after a pause of the VM, with a proof that expired during the pause. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "key check", fault = "VM paused longer than the proof")
    void proofExpiresDuringAPause() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        TestVm vm = site.vm(2);
        vm.setPaused(true);
        assertTrue(site.withdrawKey(0, key).confirmed());
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        vm.setPaused(false);
        assertEquals(Reason.NOT_PROVEN, vm.refusalReason(key.text()));
    }

    /** Guards against dating a proof from the platform at the arrival of its answer, which may be slow. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "watch", fault = "platform slow")
    void platformProofIsDatedBeforeTheRequest() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        TestVm vm = site.vm(2);
        site.hub.isolate(vm.id());
        site.clock.advance(Duration.ofSeconds(3));
        vm.store.setPlan((operation, name, after) -> {
            if (operation == StoreOperation.AWAIT_CHANGE && after) {
                site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
            }
            return StoreFault.NONE;
        });
        vm.runTasksOnce();
        assertEquals(Reason.NOT_PROVEN, vm.refusalReason(key.text()));
    }

    /** Guards against a proof that appears more recent after a peer has forwarded it. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "proof through a peer", fault = "old proof")
    void proofFromAPeerKeepsItsAge() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.minus(STEP));
        site.vm(2).part.exchange().queryPeer(TestSite.vmId(0));
        site.clock.advance(STEP.multipliedBy(2));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusalReason(key.text()));
    }

    /** Guards against dating a peer's proof at the arrival of its answer, which may be slow. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "proof through a peer", fault = "network slow")
    void proofFromAPeerIsDatedBeforeTheRequest() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        TestVm vm = site.vm(2);
        vm.store.setPlan(TestSite.UNAVAILABLE);
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        site.vm(0).runTasksOnce();
        site.afterRequest = (sender, topic) -> site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        vm.part.exchange().queryPeer(TestSite.vmId(0));
        assertEquals(Reason.NOT_PROVEN, vm.refusalReason(key.text()));
    }

    /** Guards against dating a majority proof at the arrival of the answers, which may be slow. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "platform down and network slow")
    void majorityProofIsDatedBeforeTheRequest() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        site.afterRequest = (sender, topic) -> site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        site.vm(2).part.exchange().queryPeer(TestSite.vmId(0));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusalReason(key.text()));
    }

    /** Guards against reading the clock in the comparisons of the sort, which made the order wrong with 200 VMs. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "clock moves during the sort")
    void majorityOfManyVmsIsSortedByOneReadingOfTheClock() throws Exception {
        TestSite site = TestSite.running(101);
        TestVm vm = site.vm(0);
        site.clock.advance(Duration.ofSeconds(3));
        long base = vm.nanoTime();
        site.clockStep = Duration.ofNanos(1_000);
        for (int index = 1; index < 101; index++) {
            long requestSentAt = base + index * 37 % 101;
            Incarnation incarnation = site.vm(index).self().incarnation();
            vm.replica()
                    .recordPeerStatus(
                            TestSite.vmId(index),
                            new PeerStatus(
                                    incarnation, requestSentAt, vm.replica().revision(), true, false));
        }
        assertEquals(Optional.of(base + 51), vm.replica().state().majorityProof());
    }

    /** Guards against counting a VM in the majority whose higher revision this VM has not applied. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "newer revision can't be fetched")
    void memberWithAHigherRevisionDoesNotCount() throws Exception {
        TestSite site = TestSite.running(3);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        ConfigurationReplica replica = site.vm(2).replica();
        site.vm(2).part.exchange().queryPeer(TestSite.vmId(0));
        assertTrue(site.vm(2).serves(key.text()));
        site.clock.advance(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        long now = site.vm(2).nanoTime();
        replica.recordPeerStatus(
                TestSite.vmId(0),
                new PeerStatus(
                        site.vm(0).self().incarnation(), now, replica.revision().next(), true, false));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusalReason(key.text()));
    }

    /** Guards against recording a proof of a revision that this VM could not load. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "propagation", fault = "buckets can't be read")
    void proofOfARevisionThatIsNotAppliedDoesNotCount() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        TestVm vm = site.vm(2);
        site.hub.isolate(vm.id());
        vm.store.setPlan(
                (operation, name, after) -> operation == StoreOperation.GET ? StoreFault.UNAVAILABLE : StoreFault.NONE);
        assertTrue(site.withdrawKey(0, key).confirmed());
        vm.replica().recordPlatformProof(site.vm(0).replica().revision(), site.clock.nanoTime() + 1_000_000_000_000L);
        site.tick(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(STEP));
        assertEquals(Reason.NOT_PROVEN, vm.refusalReason(key.text()));
    }

    /** Guards against a minority that accepts keys while the platform is down. */
    @Test
    @FaultRow(promise = Promise.TENANT_ISOLATION, step = "majority proof", fault = "platform down and VMs cut off")
    void minorityOfTheRosterHasNoProof() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        for (int other = 2; other < 5; other++) {
            site.hub.cut(TestSite.vmId(0), TestSite.vmId(other));
            site.hub.cut(TestSite.vmId(1), TestSite.vmId(other));
        }
        site.tick(Duration.ofSeconds(3));
        assertEquals(Reason.NOT_PROVEN, site.vm(0).refusalReason(key.text()));
        assertEquals(Reason.NOT_PROVEN, site.vm(1).refusalReason(key.text()));
        assertTrue(site.vm(2).serves(key.text()));
    }

    /** Guards against counting a restarted VM in a majority after it has lost the withdrawal that it confirmed. */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "majority proof",
            fault = "VM restarted, learning first from an old peer, platform down")
    void restartedVmDoesNotCountInAMajorityBeforeItHasAProof() throws Exception {
        TestSite site = outdatedMinorityAfterWithdrawal();
        restartWithOutdatedPeersOnly(site);
        site.tick(Duration.ofSeconds(5));
        for (int index : new int[] {0, 3, 4}) {
            assertFalse(site.vm(index).serves(withdrawnKey.text()), "vm-" + index + " serves the withdrawn key");
        }
    }

    /** Guards against counting a restarted VM in a majority because of a peer's proof from before the restart. */
    @Test
    @FaultRow(
            promise = Promise.TENANT_ISOLATION,
            step = "majority proof",
            fault = "VM restarted beside an old peer whose proof from the platform is older than the restart")
    void proofFromBeforeTheStartDoesNotMakeAVmAVoter() throws Exception {
        TestSite site = outdatedMinorityAfterWithdrawal();
        TestVm restarted = restartWithOutdatedPeersOnly(site);
        restarted.part.exchange().queryPeer(TestSite.vmId(3));
        assertTrue(restarted.replica().isProven(), "the proof from before the restart must still be fresh");
        assertFalse(restarted.replica().isVoter());
        site.tick(Duration.ofSeconds(5));
        assertFalse(restarted.serves(withdrawnKey.text()));
    }

    /**
     * Withdraws a key while VMs 3 and 4 are isolated with a proof that is still fresh; then takes the platform down.
     */
    private TestSite outdatedMinorityAfterWithdrawal() throws Exception {
        TestSite site = TestSite.running(5);
        withdrawnKey = site.issueKey(0);
        site.tick();
        for (int index = 0; index < 3; index++) {
            cutFromOutdatedVms(site, index);
        }
        site.vm(3).store.setPlan(TestSite.UNAVAILABLE);
        site.vm(4).store.setPlan(TestSite.UNAVAILABLE);
        assertTrue(site.withdrawKey(0, withdrawnKey).confirmed());
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        return site;
    }

    private static void cutFromOutdatedVms(TestSite site, int index) {
        for (int other : new int[] {3, 4}) {
            site.hub.cut(TestSite.vmId(index), TestSite.vmId(other));
        }
    }

    /** Restarts VM 0 so that it reaches only VMs 3 and 4, which have not received the withdrawal. */
    private static TestVm restartWithOutdatedPeersOnly(TestSite site) {
        site.kill(0);
        TestVm restarted = site.start(0);
        restarted.store.setPlan(TestSite.UNAVAILABLE);
        site.hub.restoreAll();
        for (int newer : new int[] {1, 2}) {
            site.hub.cut(TestSite.vmId(0), TestSite.vmId(newer));
            cutFromOutdatedVms(site, newer);
        }
        return restarted;
    }
}
