package io.banyantally.internal.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.KeyRefusedException.Reason;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** How changes, keys and proofs travel while nothing fails, and the first faults. */
final class ConfigurationPropagationTest {

    /** Guards against a key that some VM does not accept after it was given. */
    @Test
    void givenKeyWorksOnEveryVm() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        assertTrue(key.outcome().confirmed());
        site.tick();
        site.running().forEach(vm -> assertTrue(vm.serves(key.text()), vm.id() + " refuses the new key"));
    }

    /** Guards against a withdrawn key that goes on working. */
    @Test
    void withdrawnKeyStopsOnEveryVm() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        assertTrue(site.withdraw(3, key).confirmed());
        site.tick();
        site.running().forEach(vm -> assertEquals(Reason.NOT_VALID, vm.refusal(key.text())));
    }

    /** Guards against an outage of the platform that stops keyed requests although the VMs reach each other. */
    @Test
    void outageOfThePlatformDoesNotStopKeyedRequests() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        site.setPlatform(TestSite.DOWN);
        for (int tick = 0; tick < 50; tick++) {
            site.tick();
            site.running().forEach(vm -> assertTrue(vm.serves(key.text()), vm.id() + " stopped serving"));
        }
    }

    /** Guards against a VM that serves without a proof after it was cut off. */
    @Test
    void vmThatIsCutOffFromAllStopsServingKeyedRequestsAfterTheProofLimit() throws Exception {
        TestSite site = TestSite.running(5);
        IssuedKey key = site.give(0);
        site.tick();
        site.vm(2).store.setPlan(TestSite.DOWN);
        site.hub.isolate(TestSite.name(2));
        site.tick(ConfigurationReplica.PROOF_LIMIT.plus(Duration.ofMillis(200)));
        assertEquals(Reason.NOT_PROVEN, site.vm(2).refusal(key.text()));
        assertTrue(site.vm(1).serves(key.text()));
    }

    /** Guards against two rosters whose majorities have no VM in common. */
    @Test
    void rosterGrowsAndShrinksOneVmAtATime() throws Exception {
        TestSite site = new TestSite(5, 1);
        site.tick();
        for (TestVm vm : site.running()) {
            assertTrue(vm.part.roster().add(vm.id()), vm.id() + " was not added");
        }
        site.tick();
        assertEquals(5, site.vm(0).replica().current().roster().size());
        assertTrue(site.vm(1).part.roster().remove(TestSite.name(4)));
        site.kill(4);
        site.tick();
        assertEquals(4, site.vm(3).replica().current().roster().size());
        assertFalse(site.vm(3).replica().snapshot().roster().isChanging());
    }
}
