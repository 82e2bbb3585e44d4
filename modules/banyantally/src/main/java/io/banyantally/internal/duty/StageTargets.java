package io.banyantally.internal.duty;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Decides which engines prefill prompts and which decode.
 *
 * <p>The mix of the load varies within seconds, faster than an engine changes its stage, so the split follows the
 * number of engines and not the load. Half of the engines prefill, since a prompt of some 9000 tokens and an output of
 * some 6000 take about the same engine time on average. Stages are balanced by zone, because KV caches are transferred
 * twice as fast within a zone.
 */
public final class StageTargets {

    /** The fraction of the engines that prefill. */
    static final double PREFILL_FRACTION = 0.5;

    private StageTargets() {}

    /**
     * Returns the engines whose stage should change, with their new stage, those of the largest zones first.
     *
     * @param engines all engines
     * @param givenBack those that are about to leave, so that a change would be in vain
     */
    public static Map<ReplicaEntry, EngineStage> changes(
            List<ReplicaEntry> engines, Predicate<ReplicaEntry> givenBack) {
        List<ReplicaEntry> prefill = new ArrayList<>();
        List<ReplicaEntry> decode = new ArrayList<>();
        engines.forEach(engine -> (engine.stage() == EngineStage.PREFILL ? prefill : decode).add(engine));
        int target = prefillCount(engines.size());
        Map<ReplicaEntry, EngineStage> changes = new LinkedHashMap<>();
        if (prefill.size() < target) {
            fromLargestZones(staying(decode, givenBack), target - prefill.size())
                    .forEach(engine -> changes.put(engine, EngineStage.PREFILL));
        } else {
            fromLargestZones(staying(prefill, givenBack), prefill.size() - target)
                    .forEach(engine -> changes.put(engine, EngineStage.DECODE));
        }
        return changes;
    }

    private static List<ReplicaEntry> staying(List<ReplicaEntry> engines, Predicate<ReplicaEntry> givenBack) {
        return engines.stream().filter(givenBack.negate()).toList();
    }

    static int prefillCount(int engines) {
        if (engines < 2) {
            return 0;
        }
        return Math.clamp(Math.round(engines * PREFILL_FRACTION), 1, engines - 1);
    }

    /**
     * Returns engines from the zones that have the most of them. The last engine of a software version in its stage stays
     * there if possible, as a stream goes on only at a decode engine of its version.
     */
    private static List<ReplicaEntry> fromLargestZones(List<ReplicaEntry> engines, int count) {
        List<ReplicaEntry> remaining = new ArrayList<>(engines);
        remaining.sort(Comparator.comparing(ReplicaEntry::id));
        List<ReplicaEntry> chosen = new ArrayList<>();
        while (chosen.size() < count && !remaining.isEmpty()) {
            Map<AvailabilityZone, Integer> byZone = new HashMap<>();
            Map<SoftwareVersion, Integer> byVersion = new HashMap<>();
            remaining.forEach(engine -> {
                byZone.merge(engine.zone(), 1, Integer::sum);
                byVersion.merge(engine.version(), 1, Integer::sum);
            });
            ReplicaEntry next = remaining.stream()
                    .max(Comparator.comparing((ReplicaEntry engine) -> byVersion.get(engine.version()) > 1)
                            .thenComparing(engine -> byZone.get(engine.zone()))
                            .thenComparing(ReplicaEntry::id))
                    .orElseThrow();
            remaining.remove(next);
            chosen.add(next);
        }
        return chosen;
    }
}
