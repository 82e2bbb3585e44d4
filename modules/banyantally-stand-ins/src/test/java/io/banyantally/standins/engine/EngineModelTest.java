package io.banyantally.standins.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.EngineRole;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class EngineModelTest {
    private static final long SECOND = 1_000_000_000L;

    private final List<EngineEvent> events = new ArrayList<>();

    private static EngineJob job(long id, long[] prefix, int prompt, int output, int priority) {
        return new EngineJob(id, prefix, prompt, output, priority, 0);
    }

    /** Guards against a model that loses or repeats tokens, which would make every count that rests on it wrong. */
    @Test
    void sendsEachTokenOnceAndThenFinished() {
        EngineModel engine = new EngineModel(EngineCosts.DEFAULT, EngineRole.MIXED, 0, true);
        engine.submit(new EngineJob(7, new long[0], 500, 5, 0, 3));
        engine.advanceTo(SECOND, events::add);
        assertEquals(
                List.of(3, 4, 5, 6, 7, 8),
                events.stream().map(EngineEvent::index).toList());
        assertEquals(EngineEvent.Kind.FIRST_TOKEN, events.getFirst().kind());
        assertEquals(EngineEvent.Kind.FINISHED, events.getLast().kind());
        assertEquals(0, engine.jobCount());
    }

    /** Guards against a model whose events depend on how often a real-time process advances it. */
    @Test
    void sameEventsForAnyAdvanceInterval() {
        List<EngineEvent> coarse = new ArrayList<>();
        EngineModel one = new EngineModel(EngineCosts.DEFAULT, EngineRole.MIXED, 0, true);
        EngineModel other = new EngineModel(EngineCosts.DEFAULT, EngineRole.MIXED, 0, true);
        for (int id = 0; id < 20; id++) {
            one.submit(job(id, new long[] {id % 3}, 2_500, 10 + id, id % 2));
            other.submit(job(id, new long[] {id % 3}, 2_500, 10 + id, id % 2));
        }
        one.advanceTo(10 * SECOND, coarse::add);
        for (long now = 0; now <= 10 * SECOND; now += 1_234_567) {
            other.advanceTo(now, events::add);
        }
        assertEquals(coarse, events);
    }

    /** Guards against a cache that saves no prefill, or that exceeds its capacity. */
    @Test
    void skipsCachedBlocksAndEvictsTheLeastRecentlyUsed() {
        EngineCosts small = new EngineCosts(20_000, 8_000_000, 300_000, 256, 96, 4, 80_000, SECOND, 0, 0, 0);
        EngineModel engine = new EngineModel(small, EngineRole.MIXED, 0, false);
        engine.submit(job(1, new long[] {10, 11}, 4_100, 2, 0));
        engine.advanceTo(SECOND, events::add);
        engine.submit(job(2, new long[] {10, 11}, 4_100, 2, 0));
        engine.advanceTo(2 * SECOND, events::add);
        assertEquals(4_000, events.getLast().cachedTokens());
        engine.submit(job(3, new long[] {20, 21}, 4_100, 2, 0));
        engine.advanceTo(3 * SECOND, events::add);
        assertTrue(engine.cachedBlocks() <= 4);
        assertTrue(engine.cacheEvents(0).stream().anyMatch(event -> !event.stored()));
    }

    /** Guards against tests in which readers never see a gap or a late event. */
    @Test
    void loadReportsAndCacheEventsLagAndEventsHaveGaps() {
        EngineModel engine = new EngineModel(EngineCosts.DEFAULT, EngineRole.MIXED, 0, false);
        long[] prefix = new long[40];
        for (int block = 0; block < prefix.length; block++) {
            prefix[block] = block + 100L;
        }
        engine.submit(job(1, prefix, 80_001, 2_000, 0));
        engine.advanceTo(300_000_000, events::add);
        assertEquals(0, engine.loadReport().queuedPromptTokens());
        engine.advanceTo(SECOND, events::add);
        assertTrue(engine.loadReport().queuedPromptTokens() > 0);
        engine.advanceTo(10 * SECOND, events::add);
        List<Long> numbers =
                engine.cacheEvents(0).stream().map(CacheEvent::number).toList();
        assertEquals(38, numbers.size(), "two of 40 events are lost: " + numbers);
    }

    /** Guards against a low-priority job that delays a high-priority one, and against events of a cancelled job. */
    @Test
    void servesHigherPriorityFirstAndNoCancelledJobs() {
        EngineModel engine = new EngineModel(EngineCosts.DEFAULT, EngineRole.PREFILL, 0, false);
        engine.submit(job(1, new long[0], 4_000, 0, 0));
        engine.submit(job(2, new long[0], 4_000, 0, 5));
        engine.submit(job(3, new long[0], 4_000, 0, 9));
        engine.cancel(3);
        engine.advanceTo(SECOND, events::add);
        assertEquals(List.of(2L, 1L), events.stream().map(EngineEvent::jobId).toList());
    }

    /** Guards against a role change that takes no time, which would hide the cost of frequent changes. */
    @Test
    void runsNothingDuringARoleChange() {
        EngineModel engine = new EngineModel(EngineCosts.DEFAULT, EngineRole.MIXED, 0, false);
        engine.changeRole(EngineRole.DECODE);
        assertTrue(engine.changing());
        engine.submit(job(1, new long[0], 100, 1, 0));
        engine.advanceTo(4 * SECOND, events::add);
        assertEquals(List.of(), events);
        engine.advanceTo(6 * SECOND, events::add);
        assertEquals(2, events.size());
    }
}
