package io.banyantally.internal.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

final class LoadAwareRouterTest {
    private static final long[] PREFIX = {11, 12, 13, 14};

    /** Guards against new work for a leaving engine because its last load report shows it idle. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "stale load report")
    void leavingUpstreamWithAnIdleReportGetsNoNewWork() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 3);
        simulation.setReport(1, 2, 50_000, 60);
        simulation.setReport(2, 2, 50_000, 60);
        simulation.pollAll();
        simulation.setLeaving(Set.of(0));
        for (int request = 0; request < 200; request++) {
            assertNotEquals(0, simulation.engineIndex(simulation.choose(0).upstream()));
        }
    }

    /** Guards against new work for a leaving engine because it has the prompt's prefix in its cache. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "prefix held there")
    void leavingUpstreamWithTheCachedPrefixGetsNoNewWork() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 3);
        int holder = simulation.engineIndex(simulation.choose(0, PREFIX).upstream());
        simulation.setLeaving(Set.of(holder));
        for (int request = 0; request < 200; request++) {
            assertNotEquals(
                    holder, simulation.engineIndex(simulation.choose(0, PREFIX).upstream()));
        }
    }

    /**
     * Guards against falling back to a leaving engine when there is no other; the refusal tells the caller "not run".
     */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "no other is left")
    void refusesWhenOnlyLeavingUpstreamsAreLeft() {
        RoutingSimulation simulation = new RoutingSimulation(1, 2);
        simulation.setLeaving(Set.of(0, 1));
        assertThrows(NoUpstreamException.class, () -> simulation.choose(0));
    }

    /** Guards against a retry at a leaving engine because few other upstreams remain. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "retry", fault = "the other upstream failed")
    void retryIsNotSentToALeavingUpstream() {
        RoutingSimulation simulation = new RoutingSimulation(1, 2);
        simulation.setLeaving(Set.of(0));
        assertThrows(NoUpstreamException.class, () -> simulation.choose(0, Set.of(RoutingSimulation.engineId(1))));
    }

    /** Guards against all VMs sending to the same engine because they share the report that shows it idle. */
    @Test
    void vmsWithTheSameStaleReportSpreadTheirRequests() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(12, 6);
        simulation.pollAll();
        simulation.exchangeAll();
        int[] chosen = new int[6];
        for (int vm = 0; vm < 12; vm++) {
            chosen[simulation.engineIndex(simulation.choose(vm).upstream())]++;
        }
        for (int engine = 0; engine < 6; engine++) {
            assertTrue(chosen[engine] <= 8, "engine " + engine + " was chosen by " + chosen[engine] + " of 12 VMs");
        }
    }

    /** Guards against choices by load reports alone, which may be half a second old. */
    @Test
    void countsWorkOfPeersSinceTheLastReport() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(2, 2);
        simulation.pollAll();
        simulation.exchangeAll();
        int loadedEngine = simulation.engineIndex(simulation.choose(0, PREFIX).upstream());
        simulation.exchangeAll();
        long[] other = {91, 92, 93, 94};
        for (int vm = 0; vm < 2; vm++) {
            assertNotEquals(
                    loadedEngine,
                    simulation.engineIndex(simulation.choose(vm, other).upstream()));
        }
    }

    /**
     * Guards against computing a prompt again that an engine has reported as cached, on a VM that never sent the
     * prompt.
     */
    @Test
    void usesCacheEventsPolledByAPeer() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(4, 4);
        for (int block = 0; block < PREFIX.length; block++) {
            simulation.engines.get(3).events.add(new CacheEvent(2L * block + 1, PREFIX[block], true));
        }
        simulation.routers.forEach(vm -> vm.capacity(RoutingSimulation.SERVICE));
        simulation.pollAll();
        simulation.exchangeAll();
        for (int vm = 0; vm < 4; vm++) {
            assertEquals(3, simulation.engineIndex(simulation.choose(vm, PREFIX).upstream()));
        }
    }

    /** Guards against a number of polls that grows with the number of VMs. */
    @Test
    void eachEngineIsPolledByTwoVms() {
        RoutingSimulation simulation = new RoutingSimulation(9, 20);
        simulation.routers.forEach(vm -> vm.capacity(RoutingSimulation.SERVICE));
        simulation.pollAll();
        simulation.engines.forEach(engine -> assertEquals(2, engine.polls));
    }

    /** Guards against ejecting all upstreams of a service when the cause of their failures is elsewhere. */
    @Test
    void ejectsAtMostAThirdOfAService() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 6);
        for (int request = 0; request < 300; request++) {
            simulation.choose(0).failed();
        }
        Set<Integer> chosen = new TreeSet<>();
        for (int request = 0; request < 300; request++) {
            chosen.add(simulation.engineIndex(simulation.choose(0).upstream()));
        }
        assertEquals(4, chosen.size(), "two of six are ejected, the others still serve: " + chosen);
    }

    /** Guards against full load on an upstream that returns from ejection, before some requests have succeeded. */
    @Test
    void upstreamOnProbationGetsOneRequestAtATime() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 3);
        for (int failure = 0; failure < 30; failure++) {
            Route route = simulation.choose(0);
            if (simulation.engineIndex(route.upstream()) == 0) {
                route.failed();
            } else {
                route.tokenReceived();
                route.close();
            }
        }
        simulation.clock.advance(Health.INITIAL_EJECTION.plus(Duration.ofMillis(1)));
        int running = 0;
        for (int request = 0; request < 60; request++) {
            running += simulation.engineIndex(simulation.choose(0).upstream()) == 0 ? 1 : 0;
        }
        assertEquals(1, running);
    }

    /** Guards against a separate prefill stage when the decoding engine computes the prompt as fast. */
    @Test
    void splitsLongPromptsOnlyWhenDecodersAreBusy() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 2);
        simulation.engines.get(0).report = new LoadReport(2, 0, 0, 10, 400, EngineRole.PREFILL);
        simulation.setReport(1, 2, 0, 2);
        simulation.pollAll();
        simulation.routers.getFirst().capacity(RoutingSimulation.SERVICE);
        simulation.pollAll();
        assertTrue(simulation.choose(0, 71).prefill().isEmpty());
        simulation.setReport(1, 3, 30_000, 60);
        simulation.pollAll();
        Route split = simulation.choose(0, 81, 82, 83, 84, 85);
        assertEquals(
                RoutingSimulation.engineId(0),
                split.prefill().orElseThrow().upstream().id());
        assertEquals(85, split.prefill().orElseThrow().prefixHash());
    }

    /**
     * Guards against a retry storm at one upstream when the others fail: its retries are limited by its first attempts.
     */
    @Test
    void retriesAtAnUpstreamAreBounded() throws NoUpstreamException {
        RoutingSimulation simulation = new RoutingSimulation(1, 2);
        int retries = 0;
        for (int request = 0; request < 200; request++) {
            try {
                simulation.choose(0, Set.of(RoutingSimulation.engineId(0))).close();
                retries++;
            } catch (NoUpstreamException budgetUsedUp) {
                assertTrue(retries >= 10, "number of retries after which the budget was used up: " + retries);
            }
        }
        assertEquals(10, retries);
    }
}
