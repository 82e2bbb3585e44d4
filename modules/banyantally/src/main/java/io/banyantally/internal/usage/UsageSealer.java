package io.banyantally.internal.usage;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.authority.ScopeTask;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.UsageReportSink;
import java.time.Duration;

/** The task of the owner of the scope {@code usage-<bucket>}: seals the bucket's windows and reports them. */
public final class UsageSealer implements ScopeTask {

    /**
     * The length of a window on the owner's clock; a window is longer if its owner changes, since the new owner
     * restarts it.
     */
    static final Duration WINDOW = Duration.ofSeconds(60);

    /** The interval at which failed steps and reports are retried. */
    private static final Duration PASS_INTERVAL = Duration.ofSeconds(1);

    private final int bucket;
    private final Duration windowLength;
    private final KeyValueStore store;
    private final UsageGatherer gatherer;
    private final UsageReportSink sink;
    private final MonotonicClock clock;
    private final Invariants invariants;
    private final Timeline timeline;

    /**
     * Creates the task of one bucket; the scope is {@link UsageBuckets#scopeOf}.
     *
     * @param windowLength how long a window stays open, such as {@link #WINDOW}
     */
    public UsageSealer(
            int bucket,
            Duration windowLength,
            KeyValueStore store,
            UsageGatherer gatherer,
            UsageReportSink sink,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        this.bucket = bucket;
        this.windowLength = windowLength;
        this.store = store;
        this.gatherer = gatherer;
        this.sink = sink;
        this.clock = clock;
        this.invariants = invariants;
        this.timeline = timeline;
    }

    @Override
    public void run(OwnedScope scope) throws InterruptedException {
        BucketSealer sealer = sealerFor(scope);
        while (scope.isGranted() && sealer.runPass()) {
            Thread.sleep(PASS_INTERVAL);
        }
    }

    /** Returns the sealer of one owner. */
    BucketSealer sealerFor(Authority authority) {
        return new BucketSealer(authority, bucket, windowLength, store, gatherer, sink, clock, invariants, timeline);
    }
}
