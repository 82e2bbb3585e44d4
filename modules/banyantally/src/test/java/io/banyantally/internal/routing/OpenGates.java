package io.banyantally.internal.routing;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;

/** Creates gates that admit all work, for tests of other packages. */
public final class OpenGates {

    private OpenGates() {}

    /** Returns a gate without holds whose hold table counts as synchronized with the peers. */
    public static UpstreamGate create(MonotonicClock clock, Timeline timeline) {
        HoldTable holds = new HoldTable(clock, timeline);
        holds.setSynced();
        return new UpstreamGate(holds, clock, new Invariants(new MetricRegistry(), timeline));
    }
}
