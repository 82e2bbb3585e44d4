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

    /** Guards against new work for an engine that is about to go because it looks idle in its last report. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "stale load report")
    void leavingUpstreamWithAnIdleReportGetsNoNewWork() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 3);
        world.setReport(1, 2, 50_000, 60);
        world.setReport(2, 2, 50_000, 60);
        world.pollAll();
        world.setLeaving(Set.of(0));
        for (int request = 0; request < 200; request++) {
            assertNotEquals(0, world.engineIndex(world.choose(0).upstream()));
        }
    }

    /** Guards against new work for an engine that is about to go because it holds the prompt's prefix. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "prefix held there")
    void leavingUpstreamWithTheCachedPrefixGetsNoNewWork() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 3);
        int holder = world.engineIndex(world.choose(0, PREFIX).upstream());
        world.setLeaving(Set.of(holder));
        for (int request = 0; request < 200; request++) {
            assertNotEquals(holder, world.engineIndex(world.choose(0, PREFIX).upstream()));
        }
    }

    /** Guards against falling back to an engine that is about to go when no other is left; the refusal says "not run". */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "choice of an upstream", fault = "no other is left")
    void refusesWhenOnlyLeavingUpstreamsAreLeft() {
        RoutingSimulation world = new RoutingSimulation(1, 2);
        world.setLeaving(Set.of(0, 1));
        assertThrows(NoUpstreamException.class, () -> world.choose(0));
    }

    /** Guards against new work through a retry, which has few upstreams to choose from. */
    @Test
    @FaultRow(promise = Promise.LEAVING_GETS_NO_NEW_WORK, step = "retry", fault = "the other upstream failed")
    void retryIsNotSentToALeavingUpstream() {
        RoutingSimulation world = new RoutingSimulation(1, 2);
        world.setLeaving(Set.of(0));
        assertThrows(NoUpstreamException.class, () -> world.choose(0, Set.of(RoutingSimulation.engineId(1))));
    }

    /** Guards against VMs that all send to the engine that was idle in the report they share. */
    @Test
    void vmsWithTheSameStaleReportSpreadTheirRequests() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(12, 6);
        world.pollAll();
        world.exchangeAll();
        int[] chosen = new int[6];
        for (int vm = 0; vm < 12; vm++) {
            chosen[world.engineIndex(world.choose(vm).upstream())]++;
        }
        for (int engine = 0; engine < 6; engine++) {
            assertTrue(chosen[engine] <= 8, "engine " + engine + " was chosen by " + chosen[engine] + " of 12 VMs");
        }
    }

    /** Guards against choices that see only reports, which are half a second old. */
    @Test
    void countsWorkOfPeersSinceTheLastReport() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(2, 2);
        world.pollAll();
        world.exchangeAll();
        int busy = world.engineIndex(world.choose(0, PREFIX).upstream());
        world.exchangeAll();
        long[] other = {91, 92, 93, 94};
        for (int vm = 0; vm < 2; vm++) {
            assertNotEquals(busy, world.engineIndex(world.choose(vm, other).upstream()));
        }
    }

    /** Guards against recomputing a prompt that an engine has told it holds, on a VM that never sent it. */
    @Test
    void usesCacheEventsPolledByAPeer() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(4, 4);
        for (int block = 0; block < PREFIX.length; block++) {
            world.engines.get(3).events.add(new CacheEvent(2L * block + 1, PREFIX[block], true));
        }
        world.routers.forEach(vm -> vm.capacity(RoutingSimulation.SERVICE));
        world.pollAll();
        world.exchangeAll();
        for (int vm = 0; vm < 4; vm++) {
            assertEquals(3, world.engineIndex(world.choose(vm, PREFIX).upstream()));
        }
    }

    /** Guards against calls to engines that grow with the number of VMs. */
    @Test
    void eachEngineIsPolledByTwoVms() {
        RoutingSimulation world = new RoutingSimulation(9, 20);
        world.routers.forEach(vm -> vm.capacity(RoutingSimulation.SERVICE));
        world.pollAll();
        world.engines.forEach(engine -> assertEquals(2, engine.polls));
    }

    /** Guards against ejecting a whole service for a fault that lies elsewhere. */
    @Test
    void ejectsAtMostAThirdOfAService() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 6);
        for (int request = 0; request < 300; request++) {
            world.choose(0).failed();
        }
        Set<Integer> chosen = new TreeSet<>();
        for (int request = 0; request < 300; request++) {
            chosen.add(world.engineIndex(world.choose(0).upstream()));
        }
        assertEquals(4, chosen.size(), "two of six are ejected, the others still serve: " + chosen);
    }

    /** Guards against a returned upstream that is flooded before it has shown that it works. */
    @Test
    void upstreamOnProbationGetsOneRequestAtATime() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 3);
        for (int failure = 0; failure < 30; failure++) {
            Route route = world.choose(0);
            if (world.engineIndex(route.upstream()) == 0) {
                route.failed();
            } else {
                route.tokenReceived();
                route.close();
            }
        }
        world.clock.advance(Health.INITIAL_EJECTION.plus(Duration.ofMillis(1)));
        int running = 0;
        for (int request = 0; request < 60; request++) {
            running += world.engineIndex(world.choose(0).upstream()) == 0 ? 1 : 0;
        }
        assertEquals(1, running);
    }

    /** Guards against splitting a prompt when computing it at the decoding engine is as fast. */
    @Test
    void splitsLongPromptsOnlyWhenDecodersAreBusy() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 2);
        world.engines.get(0).report = new LoadReport(2, 0, 0, 10, 400, EngineRole.PREFILL);
        world.setReport(1, 2, 0, 2);
        world.pollAll();
        world.routers.getFirst().capacity(RoutingSimulation.SERVICE);
        world.pollAll();
        assertTrue(world.choose(0, 71).prefill().isEmpty());
        world.setReport(1, 3, 30_000, 60);
        world.pollAll();
        Route split = world.choose(0, 81, 82, 83, 84, 85);
        assertEquals(
                RoutingSimulation.engineId(0),
                split.prefill().orElseThrow().upstream().id());
        assertEquals(85, split.prefill().orElseThrow().prefixHash());
    }

    /** Guards against a retry storm at one upstream when the others fail: its retries are a part of its first tries. */
    @Test
    void retriesAtAnUpstreamAreBounded() throws NoUpstreamException {
        RoutingSimulation world = new RoutingSimulation(1, 2);
        int retries = 0;
        for (int request = 0; request < 200; request++) {
            try {
                world.choose(0, Set.of(RoutingSimulation.engineId(0))).close();
                retries++;
            } catch (NoUpstreamException spent) {
                assertTrue(retries >= 10, "the budget was spent after " + retries);
            }
        }
        assertEquals(10, retries);
    }
}
