package io.banyantally.standins.engine;

import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts an engine's load, and reports it as it was some time ago. */
final class LoadBoard {

    private static final long SAMPLE_NANOS = 50_000_000;

    private final AtomicLong queuedPromptTokens = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger present = new AtomicInteger();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private final long lagNanos;
    private long number;

    LoadBoard(long lagNanos) {
        this.lagNanos = lagNanos;
    }

    AtomicLong queuedPromptTokens() {
        return queuedPromptTokens;
    }

    AtomicInteger running() {
        return running;
    }

    /** Streams that wait or run. */
    AtomicInteger present() {
        return present;
    }

    /** Takes a sample when the last one is old enough. */
    synchronized void sample(StoredPrefixes cache, EngineRole role) {
        long now = System.nanoTime();
        if (!samples.isEmpty() && now - samples.peekLast().at() < SAMPLE_NANOS) {
            return;
        }
        LoadReport report = new LoadReport(
                ++number, queuedPromptTokens.get(), running.get(), cache.usedBlocks(), cache.capacityBlocks(), role);
        samples.addLast(new Sample(report, now));
        while (samples.size() > 1 && isOldEnough(second(), now)) {
            samples.removeFirst();
        }
    }

    /** Returns the newest report that is at least as old as the lag, or else the oldest. */
    synchronized LoadReport report() {
        long now = System.nanoTime();
        while (samples.size() > 1 && isOldEnough(second(), now)) {
            samples.removeFirst();
        }
        return samples.peekFirst().report();
    }

    private Sample second() {
        return samples.stream().skip(1).findFirst().orElseThrow();
    }

    private boolean isOldEnough(Sample sample, long now) {
        return now - sample.at() >= lagNanos;
    }

    private record Sample(LoadReport report, long at) {}
}
