package io.banyantally.standins.engine;

import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.LoadReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * A deterministic cost model of one engine with continuous batching. Time advances only in {@link #advanceTo}; the same
 * calls give the same events. Not thread-safe: {@link RealTimeEngine} calls it under one lock.
 *
 * <p>The engine works in steps. Each step generates one token for every decoding stream and computes prompt tokens of the
 * jobs that wait for prefill, highest priority first, up to the chunk size. Prompt tokens make a step longer for every
 * stream.
 */
public final class EngineModel {
    /** A prefill engine does not decode, so long steps delay no stream. */
    private static final int PREFILL_ROLE_CHUNK_FACTOR = 4;

    private static final long REPORT_INTERVAL_NANOS = 100_000_000L;

    private final EngineCosts costs;
    private final boolean sendsEveryToken;
    private final PrefixCache cache;
    private final Map<Long, RunningJob> jobs = new HashMap<>();
    private final PriorityQueue<RunningJob> prefilling = new PriorityQueue<>(
            Comparator.comparingInt(RunningJob::priority).reversed().thenComparingLong(RunningJob::arrivalNumber));
    private final PriorityQueue<RunningJob> decoding =
            new PriorityQueue<>(Comparator.comparingLong(RunningJob::finishStep));
    private final Deque<TimedReport> reports = new ArrayDeque<>();
    private EngineRole role;
    private long now;
    private long stepEnd;
    private boolean stepRunning;
    private int stepPrefillTokens;
    private long unavailableUntil;
    private long steps;
    private long lastReportAt = Long.MIN_VALUE / 2;
    private long reportNumber;
    private int reservedBlocks;
    private long queuedPromptTokens;
    private long busyNanos;
    private long arrivals;

    /**
     * Creates an idle engine.
     *
     * @param sendsEveryToken whether a {@link EngineEvent.Kind#TOKEN} event is sent for each token; without it, the
     *     model's own work in a step does not grow with the batch
     */
    public EngineModel(EngineCosts costs, EngineRole role, long nanoTime, boolean sendsEveryToken) {
        this.costs = costs;
        this.role = role;
        this.now = nanoTime;
        this.sendsEveryToken = sendsEveryToken;
        this.cache = new PrefixCache(costs);
        report();
    }

    private record TimedReport(long madeAt, LoadReport report) {}

    /** Queues a job. The queue has no limit. */
    public void submit(EngineJob job) {
        RunningJob running = new RunningJob(job, arrivals++);
        if (jobs.putIfAbsent(job.id(), running) != null) {
            throw new IllegalArgumentException("job " + job.id() + " is already running; give each job its own id");
        }
        queuedPromptTokens += running.remainingPrompt;
        prefilling.add(running);
    }

    /** Cancels a job, so that it sends no further event. Unknown ids are ignored. */
    public void cancel(long jobId) {
        RunningJob running = jobs.remove(jobId);
        if (running == null) {
            return;
        }
        running.cancelled = true;
        if (prefilling.remove(running)) {
            queuedPromptTokens -= running.remainingPrompt;
        }
        decoding.remove(running);
        release(running);
    }

    /** Cancels all jobs, empties the cache and returns the job ids, as when the engine crashes or is reclaimed. */
    public List<Long> crash() {
        List<Long> lost = new ArrayList<>(jobs.keySet());
        lost.forEach(this::cancel);
        stepRunning = false;
        cache.shrinkTo(0, now);
        return lost;
    }

    /** Advances the time and passes the events up to then to the listener, in order of time. */
    public void advanceTo(long nanoTime, Consumer<EngineEvent> listener) {
        while (true) {
            if (!stepRunning) {
                long start = Math.max(now, unavailableUntil);
                if (start > nanoTime || !beginStep(start)) {
                    break;
                }
            }
            if (stepEnd > nanoTime) {
                break;
            }
            now = stepEnd;
            endStep(listener);
            reportIfDue();
        }
        now = Math.max(now, nanoTime);
        reportIfDue();
    }

    /** Returns when the running or next step is due, or {@link Long#MAX_VALUE} when the engine has no job. */
    public long nextEventNanoTime() {
        if (stepRunning) {
            return stepEnd;
        }
        return jobs.isEmpty() ? Long.MAX_VALUE : Math.max(now, unavailableUntil);
    }

    private boolean beginStep(long start) {
        int batch = decoding.size();
        int budget = chunkTokens(batch);
        RunningJob head = prefilling.peek();
        int planned = head != null && admit(head, start) ? Math.min(budget, head.remainingPrompt) : 0;
        if (planned == 0 && batch == 0) {
            return false;
        }
        stepPrefillTokens = planned == 0 ? 0 : (int) Math.min(budget, queuedPromptTokens);
        now = start;
        long length = Math.max(1, costs.stepNanos(batch, stepPrefillTokens));
        stepEnd = start + length;
        busyNanos += length;
        stepRunning = true;
        return true;
    }

    private int chunkTokens(int batch) {
        return role == EngineRole.PREFILL || batch == 0
                ? costs.prefillChunkTokens() * PREFILL_ROLE_CHUNK_FACTOR
                : costs.prefillChunkTokens();
    }

    /** Reserves KV cache blocks for a job and skips the part of its prompt that the prefix cache holds. */
    private boolean admit(RunningJob running, long start) {
        if (running.admitted) {
            return true;
        }
        long[] prefix = running.job.prefixHashes();
        int heldBlocks = cache.heldBlocks(prefix);
        int needed = running.reservedBlocks - heldBlocks;
        boolean fits = reservedBlocks + needed <= costs.cacheBlocks() || decoding.isEmpty();
        if (!fits || decoding.size() >= costs.maximumBatch()) {
            return false;
        }
        running.admitted = true;
        running.cachedTokens = Math.min(heldBlocks * EngineCosts.BLOCK_TOKENS, running.job.promptTokens() - 1);
        running.remainingPrompt -= running.cachedTokens;
        queuedPromptTokens -= running.cachedTokens;
        running.pinnedBlocks = heldBlocks;
        cache.pin(prefix, 0, heldBlocks);
        running.reservedBlocks = needed;
        reservedBlocks += needed;
        cache.shrinkTo(costs.cacheBlocks() - reservedBlocks, start);
        return true;
    }

    private void endStep(Consumer<EngineEvent> listener) {
        stepRunning = false;
        steps++;
        if (sendsEveryToken) {
            sendTokens(listener);
        }
        while (!decoding.isEmpty() && decoding.peek().finishStep <= steps) {
            finish(decoding.poll(), listener);
        }
        prefill(stepPrefillTokens, listener);
    }

    private void sendTokens(Consumer<EngineEvent> listener) {
        decoding.stream()
                .sorted(Comparator.comparingLong(RunningJob::arrivalNumber))
                .forEach(running -> {
                    int index = running.job.firstIndex() + (int) (steps - running.firstStep);
                    listener.accept(new EngineEvent(
                            EngineEvent.Kind.TOKEN, now, running.job.id(), index, running.cachedTokens));
                });
    }

    private void prefill(int tokens, Consumer<EngineEvent> listener) {
        int left = tokens;
        while (left > 0 && !prefilling.isEmpty() && admit(prefilling.peek(), now)) {
            RunningJob running = prefilling.peek();
            int done = Math.min(left, running.remainingPrompt);
            running.remainingPrompt -= done;
            queuedPromptTokens -= done;
            left -= done;
            if (running.remainingPrompt == 0) {
                prefilling.poll();
                finishPrefill(running, listener);
            }
        }
    }

    private void finishPrefill(RunningJob running, Consumer<EngineEvent> listener) {
        cachePrefix(running);
        if (running.job.outputTokens() == 0) {
            finish(running, listener);
            return;
        }
        listener.accept(new EngineEvent(
                EngineEvent.Kind.FIRST_TOKEN, now, running.job.id(), running.job.firstIndex(), running.cachedTokens));
        running.firstStep = steps;
        running.finishStep = steps + running.job.outputTokens() - 1;
        if (running.job.outputTokens() == 1) {
            finish(running, listener);
        } else {
            decoding.add(running);
        }
    }

    /** Moves the computed blocks of the prefix into the prefix cache, pinned until the job ends. */
    private void cachePrefix(RunningJob running) {
        long[] prefix = running.job.prefixHashes();
        cache.store(prefix, now);
        cache.pin(prefix, running.pinnedBlocks, prefix.length);
        int shared = prefix.length - running.pinnedBlocks;
        running.pinnedBlocks = prefix.length;
        running.reservedBlocks -= shared;
        reservedBlocks -= shared;
        cache.shrinkTo(costs.cacheBlocks() - reservedBlocks, now);
    }

    private void finish(RunningJob running, Consumer<EngineEvent> listener) {
        jobs.remove(running.job.id());
        release(running);
        int next = running.job.firstIndex() + running.job.outputTokens();
        listener.accept(new EngineEvent(EngineEvent.Kind.FINISHED, now, running.job.id(), next, running.cachedTokens));
    }

    private void release(RunningJob running) {
        if (running.admitted) {
            reservedBlocks -= running.reservedBlocks;
            cache.unpin(running.job.prefixHashes(), running.pinnedBlocks);
            running.admitted = false;
        }
    }

    /** Changes the role. Running jobs pause for the duration of the change and then continue. */
    public void changeRole(EngineRole target) {
        if (target == role) {
            return;
        }
        role = target;
        unavailableUntil = Math.max(now, unavailableUntil) + costs.roleChangeNanos();
        if (stepRunning) {
            stepEnd += costs.roleChangeNanos();
        }
    }

    /** Sets the role of an engine that has had no job yet. Takes no simulated time. */
    public void startInRole(EngineRole initialRole) {
        if (arrivals > 0) {
            throw new IllegalStateException("the engine already had jobs in role " + role + "; use changeRole");
        }
        role = initialRole;
    }

    /** Returns whether a role change is in progress. */
    public boolean changing() {
        return now < unavailableUntil;
    }

    /** Adds the blocks of a prefix from another engine to the cache. The caller first waits {@link #transferNanos}. */
    public void importPrefix(long[] prefixHashes) {
        cache.store(prefixHashes, now);
        cache.shrinkTo(costs.cacheBlocks() - reservedBlocks, now);
    }

    /** Returns the nanoseconds that a copy of the KV cache of a number of tokens takes. */
    public long transferNanos(int tokens) {
        return Math.round(tokens / costs.transferTokensPerSecond() * 1e9);
    }

    /** Returns how many leading blocks of a prompt are in the cache. */
    public int heldBlocks(long[] prefixHashes) {
        return cache.heldBlocks(prefixHashes);
    }

    /** Returns the newest load report that is at least as old as the report lag, or else the oldest one. */
    public LoadReport loadReport() {
        while (reports.size() > 1) {
            TimedReport eldest = reports.removeFirst();
            if (reports.getFirst().madeAt() > now - costs.reportLagNanos()) {
                reports.addFirst(eldest);
                break;
            }
        }
        return reports.getFirst().report();
    }

    /** Returns the visible cache events with a number above {@code after}. Lost events leave a gap in the numbers. */
    public List<CacheEvent> cacheEvents(long after) {
        return cache.eventsAfter(after, now);
    }

    private void reportIfDue() {
        if (now - lastReportAt >= REPORT_INTERVAL_NANOS) {
            report();
        }
    }

    private void report() {
        lastReportAt = now;
        int used = Math.min(costs.cacheBlocks(), Math.max(0, reservedBlocks));
        LoadReport report = new LoadReport(
                ++reportNumber, Math.max(0, queuedPromptTokens), decoding.size(), used, costs.cacheBlocks(), role);
        reports.addLast(new TimedReport(now, report));
    }

    /** Returns the role; during a change, the new one. */
    public EngineRole role() {
        return role;
    }

    /** Returns how many tokens a job has generated on this engine; 0 if it is unknown or in prefill. */
    public int generatedTokens(long jobId) {
        RunningJob running = jobs.get(jobId);
        return running == null || running.finishStep == 0 ? 0 : (int) (steps - running.firstStep) + 1;
    }

    /** Returns the number of running and waiting jobs. */
    public int jobCount() {
        return jobs.size();
    }

    /** Returns the number of blocks in the prefix cache. */
    public int cachedBlocks() {
        return cache.size();
    }

    /** Returns the nanoseconds spent in steps since the start, the whole of a running step included. */
    public long busyNanos() {
        return busyNanos;
    }
}
