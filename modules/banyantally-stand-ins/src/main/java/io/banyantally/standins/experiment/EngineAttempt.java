package io.banyantally.standins.experiment;

import io.banyantally.internal.admission.AdmissionTicket;
import io.banyantally.internal.admission.WorkEstimate;
import io.banyantally.internal.routing.NoUpstreamException;
import io.banyantally.internal.routing.Route;
import io.banyantally.internal.routing.RoutingRequest;
import io.banyantally.model.UpstreamId;
import io.banyantally.standins.engine.EngineJob;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** An admitted request on its way through engines, resumed at another one when its engine goes. */
final class EngineAttempt implements JobListener {
    private static final long TOKEN_NANOS = 30_000_000L;

    private final Simulation simulation;
    private final SimulatedVm vm;
    private final RequestRun run;
    private final AdmissionTicket ticket;
    private final Set<EngineAttempt> attempts;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private Route route;
    private SimulatedEngine engine;
    private long job;
    private boolean inStage;

    EngineAttempt(
            Simulation simulation,
            SimulatedVm vm,
            RequestRun run,
            AdmissionTicket ticket,
            Set<EngineAttempt> attempts) {
        this.simulation = simulation;
        this.vm = vm;
        this.run = run;
        this.ticket = ticket;
        this.attempts = attempts;
    }

    void start() {
        TraceRequest request = run.request;
        WorkEstimate work =
                new WorkEstimate(request.promptTokens() + run.delivered(), request.outputTokens() - run.delivered());
        try {
            route = vm.router()
                    .choose(
                            new RoutingRequest(
                                    simulation.trace().site().service(),
                                    Optional.of(ExperimentConfiguration.MODEL),
                                    "",
                                    work,
                                    excluded),
                            request.prefixHashes());
        } catch (NoUpstreamException noUpstream) {
            ticket.close();
            return;
        }
        attempts.add(this);
        engine = simulation.fleet().engine(route.upstream().id());
        if (route.prefill().isPresent()) {
            startStage();
        } else {
            submit();
        }
    }

    private void startStage() {
        SimulatedEngine prefill = simulation
                .fleet()
                .engine(route.prefill().orElseThrow().upstream().id());
        int tokens = route.prefill().orElseThrow().tokens();
        if (!prefill.runs(simulation.now())) {
            retry();
            return;
        }
        inStage = true;
        job = simulation.newJob();
        prefill.submit(new EngineJob(job, run.request.prefixHashes(), tokens, 0, 0, 0), new JobListener() {
            @Override
            public void firstToken(long nanoTime) {}

            @Override
            public void finished(long nanoTime) {
                long copy = prefill.model().transferNanos(tokens);
                simulation.after(copy, () -> {
                    inStage = false;
                    route.prefillDone(Duration.ofNanos(copy));
                    engine.model().importPrefix(run.request.prefixHashes());
                    submit();
                });
            }

            @Override
            public void lost(long nanoTime, int generatedTokens) {
                inStage = false;
                retry();
            }
        });
    }

    private void submit() {
        TraceRequest request = run.request;
        if (!engine.runs(simulation.now())) {
            retry();
            return;
        }
        job = simulation.newJob();
        engine.submit(
                new EngineJob(
                        job,
                        request.prefixHashes(),
                        request.promptTokens() + run.delivered(),
                        request.outputTokens() - run.delivered(),
                        0,
                        run.delivered()),
                this);
    }

    /** Returns whether the engine is seen to leave for a reclaim and the stream would not end in time. */
    boolean mustMove(long now) {
        if (inStage || !engine.reclaimed() || !engine.runs(now)) {
            return false;
        }
        boolean seen = simulation.fleet().listed().stream()
                .anyMatch(known -> known.id().equals(engine.id()) && known.leaving());
        int left = run.request.outputTokens() - run.delivered() - engine.model().generatedTokens(job);
        return seen && now + left * TOKEN_NANOS > engine.goneAt();
    }

    void move() {
        run.meetReclaim();
        int generated = engine.model().generatedTokens(job);
        engine.cancel(job);
        run.delivered(generated);
        route.close();
        attempts.remove(this);
        if (run.delivered() >= run.request.outputTokens()) {
            finished(simulation.now());
        } else {
            start();
        }
    }

    private void retry() {
        run.meetReclaim();
        excluded.add(engine.id());
        route.failed();
        attempts.remove(this);
        if (ticket.tryRetry()) {
            start();
        } else {
            ticket.close();
        }
    }

    @Override
    public void firstToken(long nanoTime) {
        run.firstToken(nanoTime);
        route.tokenReceived();
        ticket.firstTokenSent();
    }

    @Override
    public void finished(long nanoTime) {
        run.finish(nanoTime, engine.cheap());
        for (int token = 1; token < run.request.outputTokens() - run.delivered(); token++) {
            route.tokenReceived();
        }
        route.close();
        attempts.remove(this);
        ticket.finish(run.request.outputTokens());
    }

    @Override
    public void lost(long nanoTime, int generatedTokens) {
        run.delivered(generatedTokens);
        retry();
    }
}
