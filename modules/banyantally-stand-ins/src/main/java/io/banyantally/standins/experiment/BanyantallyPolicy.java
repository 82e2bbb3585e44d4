package io.banyantally.standins.experiment;

import io.banyantally.internal.admission.AdmissionRequest;
import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.Configuration;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Serves a trace with the library's admission, router and planners on six simulated entry VMs. */
final class BanyantallyPolicy implements ServingPolicy {
    /** Callers state the target for the first token as their time limit. */
    private static final Duration TIME_LIMIT = Duration.ofMillis(1_400);

    private final Simulation simulation;
    private final List<ClientAccountParameters> accounts;
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final Set<EngineAttempt> attempts = new LinkedHashSet<>();
    private final FleetControl control;

    BanyantallyPolicy(Simulation simulation) {
        this.simulation = simulation;
        Site site = simulation.trace().site();
        this.accounts = ExperimentConfiguration.accounts(site);
        Configuration configuration = ExperimentConfiguration.of(site, accounts);
        SimulatedPeers peers = new SimulatedPeers();
        for (int vm = 0; vm < Site.VMS; vm++) {
            vms.add(new SimulatedVm(vm, simulation, () -> configuration, peers));
        }
        this.control = new FleetControl(simulation);
    }

    @Override
    public void arrive(RequestRun run) {
        TraceRequest request = run.request;
        SimulatedVm vm = vms.get(request.vm());
        WorkEstimate uncached = new WorkEstimate(request.promptTokens(), request.outputTokens());
        WorkEstimate work = vm.router().estimate(simulation.trace().site().service(), uncached, request.prefixHashes());
        control.observe(work, request.promptTokens());
        var answer = vm.admission()
                .submit(new AdmissionRequest(
                        accounts.get(request.account()),
                        simulation.trace().site().service(),
                        work,
                        TIME_LIMIT));
        var _ = answer.whenComplete((ticket, refusal) -> {
            if (ticket == null) {
                run.refuse();
            } else {
                begin(run, vm, ticket);
            }
        });
    }

    private void begin(RequestRun run, SimulatedVm vm, AdmissionTicket ticket) {
        new EngineAttempt(simulation, vm, run, ticket, attempts).start();
    }

    @Override
    public void tick(long now) {
        for (SimulatedVm vm : vms) {
            vm.tick(now);
        }
        control.tick(now);
        if (now % (TraceGenerator.NANOS_PER_SECOND / 10) == 0) {
            moveStreams(now);
        }
    }

    /** Moves streams that would not finish before the reclaim of their engine, once the list shows it as leaving. */
    private void moveStreams(long now) {
        for (EngineAttempt attempt : List.copyOf(attempts)) {
            if (attempt.mustMove(now)) {
                attempt.move();
            }
        }
    }

    @Override
    public int roleChanges() {
        return control.roleChanges();
    }
}
