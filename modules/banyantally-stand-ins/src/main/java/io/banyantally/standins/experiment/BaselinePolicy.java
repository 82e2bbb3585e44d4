package io.banyantally.standins.experiment;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.model.UpstreamId;
import io.banyantally.standins.engine.EngineCosts;
import io.banyantally.standins.engine.EngineJob;
import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The baseline policies. All but the capped one admit every request at once. Each VM knows only the requests that it
 * sent itself and sends nothing new to leaving upstreams. Each reclaimed upstream is replaced by one of the same zone,
 * price and role when the shortage is over. A request that loses its engine restarts at another. Callers give up after
 * 30 s without a first token.
 */
final class BaselinePolicy implements ServingPolicy {
    private static final long CALLER_TIMEOUT_NANOS = 30 * TraceGenerator.NANOS_PER_SECOND;

    /** A batch of four requests from each of six VMs keeps the token interval target beside prefill. */
    private static final int MAXIMUM_REQUESTS_PER_ENGINE = 4;

    private static final int STATIC_PREFILL_ENGINES = 2;
    private static final int MORE_PREFILL_ENGINES = 3;

    private final Simulation simulation;
    private final PolicyKind kind;
    private final List<Map<UpstreamId, Integer>> outstanding = new ArrayList<>();
    private final int[] nextEngineIndexes = new int[Site.VMS];
    private final NaiveRoleControl roleControl = new NaiveRoleControl();
    private boolean replacementsOrdered;

    BaselinePolicy(Simulation simulation, PolicyKind kind) {
        this.simulation = simulation;
        this.kind = kind;
        for (int vm = 0; vm < Site.VMS; vm++) {
            outstanding.add(new HashMap<>());
        }
        if (separatesRoles()) {
            setPrefillEngines(STATIC_PREFILL_ENGINES);
        }
    }

    private boolean separatesRoles() {
        return kind == PolicyKind.STATIC_ROLES || kind == PolicyKind.NAIVE_ROLES;
    }

    /** Gives the first {@code count} engines the role prefill and the others decode. Returns how many changed. */
    private int setPrefillEngines(int count) {
        int changed = 0;
        int index = 0;
        for (SimulatedEngine engine : simulation.fleet().engines()) {
            EngineRole role = index++ < count ? EngineRole.PREFILL : EngineRole.DECODE;
            if (engine.model().role() != role && simulation.now() <= 1) {
                engine.model().startInRole(role);
            } else if (engine.model().role() != role && engine.isRunning(simulation.now())) {
                engine.model().changeRole(role);
                changed++;
            }
        }
        return changed;
    }

    @Override
    public void arrive(RequestRun run) {
        roleControl.observe(run.request);
        start(run);
    }

    private void start(RequestRun run) {
        List<KnownUpstream> staying = simulation.fleet().listed().stream()
                .filter(known -> !known.leaving())
                .toList();
        if (separatesRoles() && run.request.prefixHashes().length > 0) {
            List<KnownUpstream> prefill = withRole(staying, true);
            if (!prefill.isEmpty()) {
                startPrefill(run, leastOutstanding(prefill, run.request.vm()), staying);
                return;
            }
        }
        SimulatedEngine chosen = choose(run, separatesRoles() ? withRole(staying, false) : staying);
        int ownOutstanding = outstanding.get(run.request.vm()).getOrDefault(chosen.id(), 0);
        if (kind == PolicyKind.CAPPED && ownOutstanding >= MAXIMUM_REQUESTS_PER_ENGINE) {
            run.refuse();
        } else {
            startAt(run, chosen);
        }
    }

    private List<KnownUpstream> withRole(List<KnownUpstream> staying, boolean prefill) {
        return staying.stream()
                .filter(known -> prefill
                        == (simulation.fleet().engine(known.id()).model().role() == EngineRole.PREFILL))
                .toList();
    }

    private SimulatedEngine choose(RequestRun run, List<KnownUpstream> staying) {
        int vm = run.request.vm();
        long[] hashes = run.request.prefixHashes();
        return switch (kind) {
            case ROUND_ROBIN -> engine(staying.get(nextEngineIndexes[vm]++ % staying.size()));
            case PREFIX_ONLY ->
                engine(staying.get(
                        hashes.length == 0
                                ? nextEngineIndexes[vm]++ % staying.size()
                                : (int) Long.remainderUnsigned(hashes[hashes.length - 1], staying.size())));
            default -> leastOutstanding(staying, vm);
        };
    }

    private SimulatedEngine engine(KnownUpstream known) {
        return simulation.fleet().engine(known.id());
    }

    private SimulatedEngine leastOutstanding(List<KnownUpstream> staying, int vm) {
        Map<UpstreamId, Integer> ownOutstanding = outstanding.get(vm);
        // The search starts at another engine each time, so that ties do not all go to the first engine.
        int start = nextEngineIndexes[vm]++;
        KnownUpstream best = null;
        for (int step = 0; step < staying.size(); step++) {
            KnownUpstream known = staying.get((start + step) % staying.size());
            if (best == null
                    || ownOutstanding.getOrDefault(known.id(), 0) < ownOutstanding.getOrDefault(best.id(), 0)) {
                best = known;
            }
        }
        return engine(best);
    }

    private void startPrefill(RequestRun run, SimulatedEngine prefill, List<KnownUpstream> staying) {
        long[] hashes = run.request.prefixHashes();
        int prefixTokens = hashes.length * EngineCosts.BLOCK_TOKENS;
        addOutstanding(run, prefill, 1);
        EngineJob stage = new EngineJob(simulation.newJobId(), hashes, prefixTokens, 0, 0, 0);
        prefill.submit(stage, new JobListener() {
            @Override
            public void firstToken(long nanoTime) {}

            @Override
            public void finished(long nanoTime) {
                addOutstanding(run, prefill, -1);
                SimulatedEngine decode = choose(run, withRole(staying, false));
                simulation.runAfter(prefill.model().transferNanos(prefixTokens), () -> {
                    decode.model().importPrefix(hashes);
                    startAt(run, decode);
                });
            }

            @Override
            public void lost(long nanoTime, int generatedTokens) {
                addOutstanding(run, prefill, -1);
                restart(run);
            }
        });
    }

    private void addOutstanding(RequestRun run, SimulatedEngine engine, int change) {
        outstanding.get(run.request.vm()).merge(engine.id(), change, Integer::sum);
    }

    private void restart(RequestRun run) {
        run.markReclaimed();
        run.restart();
        start(run);
    }

    private void startAt(RequestRun run, SimulatedEngine engine) {
        if (!engine.isRunning(simulation.now())) {
            restart(run);
            return;
        }
        addOutstanding(run, engine, 1);
        TraceRequest request = run.request;
        long job = simulation.newJobId();
        engine.submit(
                new EngineJob(job, request.prefixHashes(), request.promptTokens(), request.outputTokens(), 0, 0),
                new JobListener() {
                    @Override
                    public void firstToken(long nanoTime) {
                        run.firstToken(nanoTime);
                    }

                    @Override
                    public void finished(long nanoTime) {
                        addOutstanding(run, engine, -1);
                        run.finish(nanoTime, engine.cheap());
                    }

                    @Override
                    public void lost(long nanoTime, int generatedTokens) {
                        addOutstanding(run, engine, -1);
                        restart(run);
                    }
                });
        simulation.runAfter(CALLER_TIMEOUT_NANOS, () -> {
            if (!run.started() && engine.isRunning(simulation.now())) {
                engine.cancel(job);
                addOutstanding(run, engine, -1);
            }
        });
    }

    @Override
    public void tick(long now) {
        long replacementOrder = simulation.trace().reclaimAt()
                + SimulatedFleet.SHORTAGE_NANOS
                - SimulatedFleet.START_NANOS
                + SimulatedFleet.NOTICE_NANOS;
        if (!replacementsOrdered && now >= replacementOrder) {
            replacementsOrdered = true;
            simulation.fleet().engines().stream()
                    .filter(SimulatedEngine::reclaimed)
                    .sorted(Comparator.comparing(SimulatedEngine::id))
                    .toList()
                    .forEach(reclaimed -> simulation.fleet().replace(reclaimed, now));
        }
        if (kind == PolicyKind.NAIVE_ROLES) {
            roleControl
                    .decide(now)
                    .ifPresent(morePrefill -> roleControl.countChanges(
                            setPrefillEngines(morePrefill ? MORE_PREFILL_ENGINES : STATIC_PREFILL_ENGINES)));
        }
    }

    @Override
    public int roleChanges() {
        return roleControl.changes();
    }
}
