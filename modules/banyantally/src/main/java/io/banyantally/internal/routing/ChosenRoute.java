package io.banyantally.internal.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** The route of one request. The request counts as load of its upstreams until it is done or the route is closed. */
final class ChosenRoute implements Route {
    private static final double NANOS_PER_SECOND = 1e9;

    /** With fewer tokens, the mean token interval of a stream is too inaccurate. */
    private static final int MINIMUM_MEASURED_TOKENS = 20;

    private final LoadAwareRouter router;
    private final UpstreamState[] serviceUpstreams;
    private final ScoredRoute choice;
    private final long[] hashes;
    private final long prefillStageTokens;
    private final long localPrefillTokens;
    private final double queuedTokensAhead;
    private final double expectedInterval;
    private final double expectedPrefillRate;
    private final double expectedPrefillStageRate;
    private final long chosenAt;
    private final AtomicBoolean prefillStageRunning;
    private final AtomicBoolean prefilling = new AtomicBoolean(true);
    private final AtomicBoolean open = new AtomicBoolean(true);
    private volatile long firstTokenAt;
    private volatile long lastTokenAt;
    private final AtomicInteger receivedTokens = new AtomicInteger();

    ChosenRoute(
            LoadAwareRouter router,
            UpstreamState[] serviceUpstreams,
            ScoredRoute choice,
            long[] hashes,
            long prefillStageTokens,
            long localPrefillTokens,
            long now) {
        this.router = router;
        this.serviceUpstreams = serviceUpstreams;
        this.choice = choice;
        this.hashes = hashes;
        this.prefillStageTokens = prefillStageTokens;
        this.localPrefillTokens = localPrefillTokens;
        this.chosenAt = now;
        UpstreamState upstream = choice.upstream();
        this.queuedTokensAhead = upstream.expectedQueuedTokens(now);
        this.expectedInterval = upstream.intervalSeconds(upstream.expectedStreams(now) + 1);
        this.expectedPrefillRate = upstream.prefillRateNow(now);
        this.expectedPrefillStageRate =
                choice.prefill() == null ? 1 : choice.prefill().prefillRateNow(now);
        this.prefillStageRunning = new AtomicBoolean(choice.prefill() != null);
        upstream.addWork(localPrefillTokens, 1);
        upstream.health.recordSent();
        if (choice.prefill() != null) {
            choice.prefill().addWork(prefillStageTokens, 0);
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
        int transferredTokens = hashes.length * PrefixHashes.BLOCK_TOKENS;
        return Optional.of(new PrefillStage(choice.prefill().known(), hashes[hashes.length - 1], transferredTokens));
    }

    @Override
    public void prefillDone(Duration transferTime) {
        if (prefillStageRunning.compareAndSet(true, false)) {
            long now = router.now();
            choice.prefill().removePrefill(prefillStageTokens);
            choice.prefill()
                    .recordPrefill(
                            (double) prefillStageTokens,
                            expectedPrefillStageRate,
                            now - chosenAt - transferTime.toNanos());
            router.recordTransfer(hashes.length * PrefixHashes.BLOCK_TOKENS, transferTime);
        }
    }

    @Override
    public void tokenReceived() {
        long now = router.now();
        receivedTokens.incrementAndGet();
        lastTokenAt = now;
        if (prefilling.compareAndSet(true, false)) {
            firstTokenAt = now;
            choice.upstream().removePrefill(localPrefillTokens);
            if (choice.prefill() == null) {
                choice.upstream()
                        .recordPrefill(queuedTokensAhead + localPrefillTokens, expectedPrefillRate, now - chosenAt);
            }
        }
    }

    @Override
    public void failed() {
        router.recordFailure(choice.upstream(), serviceUpstreams);
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
        int receivedCount = receivedTokens.get();
        if (prefillStageRunning.compareAndSet(true, false)) {
            choice.prefill().removePrefill(prefillStageTokens);
        }
        if (prefilling.compareAndSet(true, false)) {
            upstream.removePrefill(localPrefillTokens);
        }
        upstream.removeStream();
        if (succeeded && receivedCount > 0) {
            router.recordSuccess(upstream);
        } else if (succeeded) {
            upstream.health.recordInconclusive();
        }
        if (succeeded && receivedCount > MINIMUM_MEASURED_TOKENS) {
            double interval = (lastTokenAt - firstTokenAt) / NANOS_PER_SECOND / (receivedCount - 1);
            upstream.recordInterval(expectedInterval, interval);
        }
    }
}
