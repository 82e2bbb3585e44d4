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
 * The policies to compare with. Except for the capped one they let every request in at once; they know only what their own VM sent, send nothing new to
 * upstreams that leave, and get each reclaimed upstream replaced like for like when the shortage is over. A request that
 * loses its engine begins anew at another. Callers give up after 30 s without a first token.
 */
final class BaselinePolicy implements ServingPolicy {
    private static final long PATIENCE = 30 * TraceGenerator.SECOND;

    /** Six VMs with four requests each keep an engine's batch small enough for the interval target beside prefill. */
    private static final int CAP = 4;

    private static final int STATIC_PREFILL_ENGINES = 2;
    private static final int MORE_PREFILL_ENGINES = 3;

    private final Simulation simulation;
    private final PolicyKind kind;
    private final List<Map<UpstreamId, Integer>> outstanding = new ArrayList<>();
    private final int[] turns = new int[Site.VMS];
    private final NaiveRoleControl roleControl = new NaiveRoleControl();
    private boolean replaced;

    BaselinePolicy(Simulation simulation, PolicyKind kind) {
        this.simulation = simulation;
        this.kind = kind;
        for (int vm = 0; vm < Site.VMS; vm++) {
            outstanding.add(new HashMap<>());
        }
        if (splits()) {
            setPrefillEngines(STATIC_PREFILL_ENGINES);
        }
    }

    private boolean splits() {
        return kind == PolicyKind.STATIC_ROLES || kind == PolicyKind.NAIVE_ROLES;
    }

    /** Gives the first engines the role prefill and the others decode; returns how many changed. */
    private int setPrefillEngines(int count) {
        int changed = 0;
        int place = 0;
        for (SimulatedEngine engine : simulation.fleet().engines()) {
            EngineRole role = place++ < count ? EngineRole.PREFILL : EngineRole.DECODE;
            if (engine.model().role() != role && simulation.now() <= 1) {
                engine.model().startInRole(role);
            } else if (engine.model().role() != role && engine.runs(simulation.now())) {
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
        if (splits() && run.request.prefixHashes().length > 0) {
            List<KnownUpstream> prefill = withRole(staying, true);
            if (!prefill.isEmpty()) {
                startSplit(run, leastOutstanding(prefill, run.request.vm()), staying);
                return;
            }
        }
        SimulatedEngine chosen = choose(run, splits() ? withRole(staying, false) : staying);
        int own = outstanding.get(run.request.vm()).getOrDefault(chosen.id(), 0);
        if (kind == PolicyKind.CAPPED && own >= CAP) {
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
            case ROUND_ROBIN -> engine(staying.get(turns[vm]++ % staying.size()));
            case PREFIX_ONLY ->
                engine(staying.get(
                        hashes.length == 0
                                ? turns[vm]++ % staying.size()
                                : (int) Long.remainderUnsigned(hashes[hashes.length - 1], staying.size())));
            default -> leastOutstanding(staying, vm);
        };
    }

    private SimulatedEngine engine(KnownUpstream known) {
        return simulation.fleet().engine(known.id());
    }

    private SimulatedEngine leastOutstanding(List<KnownUpstream> staying, int vm) {
        Map<UpstreamId, Integer> own = outstanding.get(vm);
        // The start of the search moves, so that VMs do not all prefer the first of equal engines.
        int start = turns[vm]++;
        KnownUpstream best = null;
        for (int step = 0; step < staying.size(); step++) {
            KnownUpstream known = staying.get((start + step) % staying.size());
            if (best == null || own.getOrDefault(known.id(), 0) < own.getOrDefault(best.id(), 0)) {
                best = known;
            }
        }
        return engine(best);
    }

    private void startSplit(RequestRun run, SimulatedEngine prefill, List<KnownUpstream> staying) {
        long[] hashes = run.request.prefixHashes();
        int whole = hashes.length * EngineCosts.BLOCK_TOKENS;
        count(run, prefill, 1);
        EngineJob stage = new EngineJob(simulation.newJob(), hashes, whole, 0, 0, 0);
        prefill.submit(stage, new JobListener() {
            @Override
            public void firstToken(long nanoTime) {}

            @Override
            public void finished(long nanoTime) {
                count(run, prefill, -1);
                SimulatedEngine decode = choose(run, withRole(staying, false));
                simulation.after(prefill.model().transferNanos(whole), () -> {
                    decode.model().importPrefix(hashes);
                    startAt(run, decode);
                });
            }

            @Override
            public void lost(long nanoTime, int generatedTokens) {
                count(run, prefill, -1);
                startOver(run);
            }
        });
    }

    private void count(RequestRun run, SimulatedEngine engine, int change) {
        outstanding.get(run.request.vm()).merge(engine.id(), change, Integer::sum);
    }

    private void startOver(RequestRun run) {
        run.meetReclaim();
        run.startOver();
        start(run);
    }

    private void startAt(RequestRun run, SimulatedEngine engine) {
        if (!engine.runs(simulation.now())) {
            startOver(run);
            return;
        }
        count(run, engine, 1);
        TraceRequest request = run.request;
        long job = simulation.newJob();
        engine.submit(
                new EngineJob(job, request.prefixHashes(), request.promptTokens(), request.outputTokens(), 0, 0),
                new JobListener() {
                    @Override
                    public void firstToken(long nanoTime) {
                        run.firstToken(nanoTime);
                    }

                    @Override
                    public void finished(long nanoTime) {
                        count(run, engine, -1);
                        run.finish(nanoTime, engine.cheap());
                    }

                    @Override
                    public void lost(long nanoTime, int generatedTokens) {
                        count(run, engine, -1);
                        startOver(run);
                    }
                });
        simulation.after(PATIENCE, () -> {
            if (!run.started() && engine.runs(simulation.now())) {
                engine.cancel(job);
                count(run, engine, -1);
            }
        });
    }

    @Override
    public void tick(long now) {
        long replacementOrder = simulation.trace().reclaimAt()
                + SimulatedFleet.SHORTAGE_NANOS
                - SimulatedFleet.START_NANOS
                + SimulatedFleet.NOTICE_NANOS;
        if (!replaced && now >= replacementOrder) {
            replaced = true;
            simulation.fleet().engines().stream()
                    .filter(SimulatedEngine::reclaimed)
                    .sorted(Comparator.comparing(SimulatedEngine::id))
                    .toList()
                    .forEach(gone -> simulation.fleet().replace(gone, now));
        }
        if (kind == PolicyKind.NAIVE_ROLES) {
            roleControl
                    .decide(now)
                    .ifPresent(more ->
                            roleControl.count(setPrefillEngines(more ? MORE_PREFILL_ENGINES : STATIC_PREFILL_ENGINES)));
        }
    }

    @Override
    public int roleChanges() {
        return roleControl.changes();
    }
}
