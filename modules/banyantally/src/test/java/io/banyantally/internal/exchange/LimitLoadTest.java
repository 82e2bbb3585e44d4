package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays VMs whose callers ask for more than the upstreams take. From 3 s after an upstream named its limit, no 4 s may
 * bring it more than one and a half times the limit and five requests; at least half of the limit must be used.
 */
final class LimitLoadTest {

    private static final double REQUESTS_PER_SECOND = 400;
    private static final Duration BEFORE = Duration.ofSeconds(5);
    private static final Duration STABILITY = Duration.ofSeconds(3);
    private static final Duration LIMITED = Duration.ofSeconds(40);

    /** Guards against VMs that each keep the limit alone, and against a limit that is hardly used. */
    @ParameterizedTest
    @CsvSource({
        "6, 0.4, 1", "6, 0.4, 6", "6, 5.3, 1", "6, 5.3, 2", "6, 5.3, 6", "6, 40, 1", "6, 40, 6",
        "95, 0.4, 2", "95, 0.4, 95", "95, 5.3, 2", "95, 5.3, 30", "95, 5.3, 95", "95, 40, 2", "95, 40, 95"
    })
    void limitIsKeptAndUsed(int vms, double limit, int vmsWithCallers) {
        LimitSimulation simulation = new LimitSimulation(vms, 3, 1);
        ToDoubleFunction<LimitSimulation.Vm> callers =
                vm -> simulation.vms.indexOf(vm) < vmsWithCallers ? REQUESTS_PER_SECOND / vmsWithCallers : 0;

        long from = playLimit(simulation, limit, callers);

        assertKept(simulation, limit, from);
        assertUsed(simulation, limit, from);
    }

    /** Guards against VMs that double the limit while they do not hear each other, or use nothing of it. */
    @ParameterizedTest
    @CsvSource({"6, 5.3, 3", "6, 5.3, 1", "6, 5.3, 6", "95, 40, 48", "95, 5.3, 1"})
    void limitIsKeptWhileVmsAreCutOff(int vms, double limit, int cutOff) {
        LimitSimulation simulation = new LimitSimulation(vms, 2, 2);
        long from = playLimit(simulation, limit, vm -> REQUESTS_PER_SECOND / vms);

        simulation.vms.stream().limit(cutOff).forEach(vm -> simulation.cutFromPeers.add(vm.id));
        simulation.run(LIMITED, vm -> REQUESTS_PER_SECOND / vms);
        simulation.cutFromPeers.clear();
        simulation.run(LIMITED, vm -> REQUESTS_PER_SECOND / vms);

        assertKept(simulation, limit, from);
        assertUsed(simulation, limit, simulation.clock.nanoTime() - LIMITED.toNanos());
    }

    /** Guards against a limit that is exceeded while VMs stop and start one after the other. */
    @ParameterizedTest
    @CsvSource({"6, 5.3", "6, 0.4", "95, 5.3", "95, 40"})
    void limitIsKeptWhileVmsRestartInTurn(int vms, double limit) {
        LimitSimulation simulation = new LimitSimulation(vms, 2, 3);
        ToDoubleFunction<LimitSimulation.Vm> callers = vm -> REQUESTS_PER_SECOND / simulation.vms.size();
        long from = playLimit(simulation, limit, callers);

        for (LimitSimulation.Vm vm : List.copyOf(simulation.vms).subList(0, 6)) {
            simulation.stop(vm);
            simulation.run(Duration.ofSeconds(2), callers);
            simulation.start(vm.id.value());
            simulation.run(Duration.ofSeconds(3), callers);
        }

        assertKept(simulation, limit, from);
        assertUsed(simulation, limit, from);
    }

    /** Guards against VMs that each take the whole limit because all have just started. */
    @Test
    void limitIsKeptAfterAllVmsHaveRestarted() {
        LimitSimulation simulation = new LimitSimulation(6, 2, 4);
        double limit = 5.3;
        playLimit(simulation, limit, vm -> REQUESTS_PER_SECOND / 6);
        List<LimitSimulation.Vm> former = List.copyOf(simulation.vms);
        former.forEach(simulation::stop);
        former.forEach(vm -> simulation.start(vm.id.value()));

        simulation.run(Duration.ofSeconds(1), vm -> REQUESTS_PER_SECOND / 6);
        long from = simulation.clock.nanoTime();
        simulation.run(LIMITED, vm -> REQUESTS_PER_SECOND / 6);

        assertKept(simulation, limit, from);
        assertUsed(simulation, limit, from + STABILITY.toNanos());
    }

    /** Guards against a short list of VMs after an outage of the store, by which each would take the whole limit. */
    @Test
    void limitIsKeptWhileTheListOfVmsIsShort() {
        LimitSimulation simulation = new LimitSimulation(6, 2, 5);
        double limit = 5.3;
        long from = playLimit(simulation, limit, vm -> REQUESTS_PER_SECOND / 6);
        simulation.vms.forEach(vm -> simulation.cutFromPeers.add(vm.id));
        simulation.run(Duration.ofSeconds(1), vm -> REQUESTS_PER_SECOND / 6);
        List<VmId> all = List.copyOf(simulation.listed);
        simulation.listed.clear();
        simulation.run(Duration.ofSeconds(2), vm -> REQUESTS_PER_SECOND / 6);
        simulation.listed.addAll(all);
        simulation.cutFromPeers.clear();
        simulation.run(LIMITED, vm -> REQUESTS_PER_SECOND / 6);

        assertKept(simulation, limit, from);
    }

    /** Guards against a limit that holds on after the upstream has stopped naming it. */
    @ParameterizedTest
    @CsvSource({"6, 0.4", "6, 5.3", "95, 5.3"})
    void endedLimitIsForgottenByAllVms(int vms, double limit) {
        LimitSimulation simulation = new LimitSimulation(vms, 2, 6);
        playLimit(simulation, limit, vm -> REQUESTS_PER_SECOND / vms);

        simulation.setLimits(OptionalDouble.empty());
        simulation.run(Duration.ofSeconds(12), vm -> REQUESTS_PER_SECOND / vms);
        simulation.refused = 0;
        simulation.run(Duration.ofSeconds(2), vm -> REQUESTS_PER_SECOND / vms);

        assertEquals(0, simulation.refused);
    }

    /** Guards against a former, higher limit that is used on. */
    @Test
    void changedLimitReplacesTheFormerOne() {
        LimitSimulation simulation = new LimitSimulation(6, 2, 7);
        playLimit(simulation, 40, vm -> REQUESTS_PER_SECOND / 6);

        long from = playLimit(simulation, 5.3, vm -> REQUESTS_PER_SECOND / 6);

        assertKept(simulation, 5.3, from + STABILITY.toNanos());
        assertUsed(simulation, 5.3, from + STABILITY.toNanos());
    }

    /** Returns when the limit is binding. */
    private static long playLimit(
            LimitSimulation simulation, double limit, ToDoubleFunction<LimitSimulation.Vm> callers) {
        simulation.run(BEFORE, callers);
        simulation.setLimits(OptionalDouble.of(limit));
        simulation.run(STABILITY, callers);
        long from = simulation.clock.nanoTime();
        simulation.run(LIMITED, callers);
        return from;
    }

    private static void assertKept(LimitSimulation simulation, double limit, long from) {
        double allowed = 1.5 * 4 * limit + 5;
        int most = simulation.mostInWindow(from);
        assertTrue(most <= allowed, most + " requests in 4 s, allowed are " + allowed);
    }

    private static void assertUsed(LimitSimulation simulation, double limit, long from) {
        double rate = simulation.meanRate(from);
        assertTrue(rate >= limit / 2, rate + " requests a second of " + limit);
    }
}
