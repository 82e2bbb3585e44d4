package io.banyantally.internal.duty;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which engines read prompts and which generate.
 *
 * <p>Answers a mix that swings within seconds, faster than an engine changes its stage: the split follows the number of
 * engines and not the swing. Half of the engines read, since a prompt of some nine thousand tokens and a generation of some
 * six thousand take engines for about as long in the long run. Stages are balanced by zone, because KV caches move within
 * a zone at twice the speed.
 */
public final class StageTargets {

    /** The part of the engines that reads prompts. */
    static final double PREFILL_PART = 0.5;

    private StageTargets() {}

    /** Returns the engines whose stage should change, with their new stage. */
    public static Map<ReplicaEntry, EngineStage> changes(List<ReplicaEntry> engines) {
        List<ReplicaEntry> prefill = new ArrayList<>();
        List<ReplicaEntry> decode = new ArrayList<>();
        engines.forEach(engine -> (engine.stage() == EngineStage.PREFILL ? prefill : decode).add(engine));
        int wanted = wantedPrefill(engines.size());
        Map<ReplicaEntry, EngineStage> changes = new HashMap<>();
        if (prefill.size() < wanted) {
            mostCrowded(decode, wanted - prefill.size()).forEach(engine -> changes.put(engine, EngineStage.PREFILL));
        } else {
            mostCrowded(prefill, prefill.size() - wanted).forEach(engine -> changes.put(engine, EngineStage.DECODE));
        }
        return changes;
    }

    static int wantedPrefill(int engines) {
        if (engines < 2) {
            return 0;
        }
        return Math.clamp(Math.round(engines * PREFILL_PART), 1, engines - 1);
    }

    /** Returns engines from the zones that have most of them. */
    private static List<ReplicaEntry> mostCrowded(List<ReplicaEntry> engines, int count) {
        List<ReplicaEntry> left = new ArrayList<>(engines);
        left.sort(Comparator.comparing(ReplicaEntry::id));
        List<ReplicaEntry> chosen = new ArrayList<>();
        while (chosen.size() < count && !left.isEmpty()) {
            Map<AvailabilityZone, Integer> byZone = new HashMap<>();
            left.forEach(engine -> byZone.merge(engine.zone(), 1, Integer::sum));
            ReplicaEntry next = left.stream()
                    .max(Comparator.comparingInt((ReplicaEntry engine) -> byZone.get(engine.zone()))
                            .thenComparing(ReplicaEntry::id))
                    .orElseThrow();
            left.remove(next);
            chosen.add(next);
        }
        return chosen;
    }
}
