package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.testing.Deployments;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StageTargetsTest {

    /** Guards against engines of one stage only, which cannot serve any request. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5, 12, 27})
    void bothStagesAreAssigned(int engines) {
        int prefill = StageTargets.prefillCount(engines);

        assertTrue(prefill >= 1 && prefill < engines, "prefill: " + prefill);
    }

    /** Guards against needless stage changes: each makes an engine unavailable for seconds. */
    @Test
    void balancedEnginesStayAsTheyAre() {
        assertEquals(
                Map.of(),
                StageTargets.changes(
                        List.of(
                                engine("a1", "a", EngineStage.PREFILL),
                                engine("a2", "a", EngineStage.DECODE),
                                engine("b1", "b", EngineStage.PREFILL),
                                engine("b2", "b", EngineStage.DECODE)),
                        engine -> false));
    }

    /** Guards against a zone that loses all engines of a stage to balance the fleet as a whole. */
    @Test
    void changesEnginesOfTheLargestZone() {
        List<ReplicaEntry> engines = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            engines.add(engine("a" + index, "a", EngineStage.DECODE));
        }
        engines.add(engine("b1", "b", EngineStage.DECODE));
        engines.add(engine("b2", "b", EngineStage.PREFILL));

        Map<ReplicaEntry, EngineStage> changes = StageTargets.changes(engines, engine -> false);

        assertEquals(2, changes.size());
        assertTrue(
                changes.keySet().stream()
                        .allMatch(engine -> engine.zone().value().equals("a")),
                changes::toString);
    }

    /** Guards against orders by chance, as only the first change is ordered at once. */
    @Test
    void changesStartInTheLargestZone() {
        List<ReplicaEntry> engines = new ArrayList<>();
        for (int index = 0; index < 8; index++) {
            engines.add(engine("a" + index, "a", EngineStage.DECODE));
        }
        for (int index = 0; index < 4; index++) {
            engines.add(engine("b" + index, "b", EngineStage.DECODE));
        }

        List<String> changes = StageTargets.changes(engines, engine -> false).keySet().stream()
                .map(engine -> engine.id().value())
                .toList();

        assertEquals(List.of("a7", "a6", "a5", "a4", "b3", "a3"), changes);
    }

    /** Guards against a version without a decode engine, whose streams could not go on. */
    @Test
    void lastDecodeEngineOfAVersionStays() {
        List<ReplicaEntry> engines = List.of(
                engine("a1", "a", EngineStage.DECODE),
                engine("a2", "a", EngineStage.DECODE),
                withVersion(engine("a3", "a", EngineStage.DECODE), "v2"),
                engine("b1", "b", EngineStage.PREFILL));

        assertEquals(Map.of(engines.get(1), EngineStage.PREFILL), StageTargets.changes(engines, engine -> false));
    }

    private static ReplicaEntry engine(String id, String zone, EngineStage stage) {
        return Deployments.engine(id, zone, stage);
    }

    private static ReplicaEntry withVersion(ReplicaEntry engine, String version) {
        return new ReplicaEntry(
                engine.id(),
                engine.service(),
                engine.address(),
                engine.zone(),
                engine.slots(),
                engine.draining(),
                engine.stage(),
                engine.cheap(),
                engine.startedAtMillis(),
                engine.sequence(),
                new SoftwareVersion(version));
    }
}
