package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Propagation of changes, keys and proofs, without faults and with a single outage or partition. */
final class ConfigurationPropagationTest {

    /** Guards against VMs that refuse a newly issued key. */
    @Test
    void issuedKeyIsAcceptedOnEveryVm() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        assertTrue(key.outcome().confirmed());
        site.tick();
        site.running().forEach(vm -> assertTrue(vm.serves(key.text()), vm.id() + " refuses the new key"));
    }

    /** Guards against VMs that still accept a withdrawn key. */
    @Test
    void withdrawnKeyIsRefusedOnEveryVm() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        assertTrue(site.withdrawKey(3, key).confirmed());
        site.tick();
        site.running().forEach(vm -> assertEquals(Reason.NOT_VALID, vm.refusalReason(key.text())));
    }

    /** Guards against refusing keys during an outage of the platform, while the VMs still reach each other. */
    @Test
    void keysAreAcceptedDuringAPlatformOutage() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.setPlatformFaults(TestSite.UNAVAILABLE);
        for (int tick = 0; tick < 50; tick++) {
            site.tick();
            site.running().forEach(vm -> assertTrue(vm.serves(key.text()), vm.id() + " stopped serving"));
        }
    }

    /** Guards against a VM that accepts keys after its last proof has expired, when it is isolated from all others. */
    @Test
    void isolatedVmRefusesKeysAfterTheMaximumProofAge() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.issueKey(0);
        site.tick();
        site.vm(2).store.setPlan(TestSite.UNAVAILABLE);
        site.hub.isolate(TestSite.vmId(2));
        site.tick(ConfigurationReplica.MAXIMUM_PROOF_AGE.plus(Duration.ofMillis(200)));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusalReason(key.text()));
        assertTrue(site.vm(1).serves(key.text()));
    }

    /** Guards against successive rosters whose majorities share no VM. */
    @Test
    void rosterGrowsAndShrinksOneVmAtATime() throws Exception {
        TestSite site = new TestSite(5, 1);
        site.tick();
        for (TestVm vm : site.running()) {
            assertTrue(vm.part.roster().add(vm.id()), vm.id() + " was not added");
        }
        site.tick();
        assertEquals(5, site.vm(0).replica().current().roster().size());
        assertTrue(site.vm(1).part.roster().remove(TestSite.vmId(4)));
        site.kill(4);
        site.tick();
        assertEquals(4, site.vm(3).replica().current().roster().size());
        assertFalse(site.vm(3).replica().snapshot().roster().isChanging());
    }
}
