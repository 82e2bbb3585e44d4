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

/** Runs an admitted request on an engine and resumes it at another one when that engine leaves or is lost. */
final class EngineAttempt implements JobListener {
    /** Assumed interval between tokens, for the estimate of when a stream ends. */
    private static final long TOKEN_INTERVAL_NANOS = 30_000_000L;

    private final Simulation simulation;
    private final SimulatedVm vm;
    private final RequestRun run;
    private final AdmissionTicket ticket;
    private final Set<EngineAttempt> attempts;
    private final Set<UpstreamId> excluded = new HashSet<>();
    private Route route;
    private SimulatedEngine engine;
    private long job;
    private boolean prefillRunning;

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
            startPrefill();
        } else {
            submit();
        }
    }

    private void startPrefill() {
        SimulatedEngine prefill = simulation
                .fleet()
                .engine(route.prefill().orElseThrow().upstream().id());
        int tokens = route.prefill().orElseThrow().tokens();
        if (!prefill.isRunning(simulation.now())) {
            retry();
            return;
        }
        prefillRunning = true;
        job = simulation.newJobId();
        prefill.submit(new EngineJob(job, run.request.prefixHashes(), tokens, 0, 0, 0), new JobListener() {
            @Override
            public void firstToken(long nanoTime) {}

            @Override
            public void finished(long nanoTime) {
                long transferNanos = prefill.model().transferNanos(tokens);
                simulation.runAfter(transferNanos, () -> {
                    prefillRunning = false;
                    route.prefillDone(Duration.ofNanos(transferNanos));
                    engine.model().importPrefix(run.request.prefixHashes());
                    submit();
                });
            }

            @Override
            public void lost(long nanoTime, int generatedTokens) {
                prefillRunning = false;
                retry();
            }
        });
    }

    private void submit() {
        TraceRequest request = run.request;
        if (!engine.isRunning(simulation.now())) {
            retry();
            return;
        }
        job = simulation.newJobId();
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

    /** Returns whether the engine is listed as leaving for a reclaim and the stream would not end in time. */
    boolean mustMove(long now) {
        if (prefillRunning || !engine.reclaimed() || !engine.isRunning(now)) {
            return false;
        }
        boolean listedAsLeaving = simulation.fleet().listed().stream()
                .anyMatch(known -> known.id().equals(engine.id()) && known.leaving());
        int remainingTokens =
                run.request.outputTokens() - run.delivered() - engine.model().generatedTokens(job);
        return listedAsLeaving && now + remainingTokens * TOKEN_INTERVAL_NANOS > engine.terminatesAt();
    }

    void move() {
        run.markReclaimed();
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
        run.markReclaimed();
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
