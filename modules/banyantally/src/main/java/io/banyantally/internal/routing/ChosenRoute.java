package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The route of one request. Its upstreams count the request's work until it is done or the route is closed. */
final class ChosenRoute implements Route {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Shorter streams say little about the interval. */
    private static final int MEASURABLE_STREAM = 20;

    private final LoadAwareRouter router;
    private final UpstreamState[] service;
    private final Choice choice;
    private final long[] hashes;
    private final long stageTokens;
    private final long ownTokens;
    private final double aheadTokens;
    private final double expectedInterval;
    private final double expectedRate;
    private final double expectedStageRate;
    private final long chosenAt;
    private final AtomicBoolean stageRuns;
    private final AtomicBoolean prefilling = new AtomicBoolean(true);
    private final AtomicBoolean open = new AtomicBoolean(true);
    private volatile long firstTokenAt;
    private volatile long lastTokenAt;
    private final AtomicInteger tokens = new AtomicInteger();

    ChosenRoute(
            LoadAwareRouter router,
            UpstreamState[] service,
            Choice choice,
            long[] hashes,
            long stageTokens,
            long ownTokens,
            long now) {
        this.router = router;
        this.service = service;
        this.choice = choice;
        this.hashes = hashes;
        this.stageTokens = stageTokens;
        this.ownTokens = ownTokens;
        this.chosenAt = now;
        UpstreamState upstream = choice.upstream();
        this.aheadTokens = upstream.queuedTokens(now);
        this.expectedInterval = upstream.intervalSeconds(upstream.streams(now) + 1);
        this.expectedRate = upstream.prefillRateNow(now);
        this.expectedStageRate = choice.prefill() == null ? 1 : choice.prefill().prefillRateNow(now);
        this.stageRuns = new AtomicBoolean(choice.prefill() != null);
        upstream.begin(ownTokens, 1);
        upstream.health.sent();
        if (choice.prefill() != null) {
            choice.prefill().begin(stageTokens, 0);
        }
    }

    @Override
    public KnownUpstream upstream() {
        return choice.upstream().known();
    }

    @Override
    public Optional<PrefillStage> prefill() {
        if (choice.prefill() == null) {
            return Optional.empty();
        }
        int copied = hashes.length * PrefixHashes.BLOCK_TOKENS;
        return Optional.of(new PrefillStage(choice.prefill().known(), hashes[hashes.length - 1], copied));
    }

    @Override
    public void prefillDone(Duration copy) {
        if (stageRuns.compareAndSet(true, false)) {
            long now = router.now();
            choice.prefill().prefillEnded(stageTokens);
            choice.prefill().measuredPrefill((double) stageTokens, expectedStageRate, now - chosenAt - copy.toNanos());
            router.measuredCopy(hashes.length * PrefixHashes.BLOCK_TOKENS, copy);
        }
    }

    @Override
    public void tokenReceived() {
        long now = router.now();
        tokens.incrementAndGet();
        lastTokenAt = now;
        if (prefilling.compareAndSet(true, false)) {
            firstTokenAt = now;
            choice.upstream().prefillEnded(ownTokens);
            if (choice.prefill() == null) {
                choice.upstream().measuredPrefill(aheadTokens + ownTokens, expectedRate, now - chosenAt);
            }
        }
    }

    @Override
    public void failed() {
        router.failed(choice.upstream(), service);
        close(false);
    }

    @Override
    public void close() {
        close(true);
    }

    private void close(boolean succeeded) {
        if (!open.compareAndSet(true, false)) {
            return;
        }
        UpstreamState upstream = choice.upstream();
        int received = tokens.get();
        if (stageRuns.compareAndSet(true, false)) {
            choice.prefill().prefillEnded(stageTokens);
        }
        if (prefilling.compareAndSet(true, false)) {
            upstream.prefillEnded(ownTokens);
        }
        upstream.streamEnded();
        if (succeeded && received > 0) {
            router.succeeded(upstream);
        } else if (succeeded) {
            upstream.health.recordInconclusive();
        }
        if (succeeded && received > MEASURABLE_STREAM) {
            double interval = (lastTokenAt - firstTokenAt) / NANOS_PER_SECOND / (received - 1);
            upstream.measuredInterval(expectedInterval, interval);
        }
    }
}
