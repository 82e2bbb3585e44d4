package io.banyantally.internal.routing;

import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;

/**
 * Ejects failing upstreams from routing. Ejections are limited to a fraction of a service: when more of its upstreams
 * fail, the cause is probably elsewhere.
 */
final class OutlierEjection {
    /** The largest fraction of a service's upstreams that is ejected at once; the number is rounded down. */
    static final double MAXIMUM_EJECTED_FRACTION = 0.34;

    private final Timeline timeline;

    OutlierEjection(Timeline timeline) {
        this.timeline = timeline;
    }

    void recordFailure(UpstreamState upstream, UpstreamState[] service, long now) {
        if (!upstream.health.recordFailure()) {
            return;
        }
        int unhealthyOthers = 0;
        for (UpstreamState other : service) {
            if (other != upstream && !other.health.isHealthy()) {
                unhealthyOthers++;
            }
        }
        boolean alreadyUnhealthy = !upstream.health.isHealthy();
        if (alreadyUnhealthy || unhealthyOthers + 1 <= service.length * MAXIMUM_EJECTED_FRACTION) {
            upstream.health.eject(now);
            timeline.record(
                    EventKind.UPSTREAM_EJECTED,
                    EventField.of("upstream", upstream.known().id()));
        }
    }

    void recordSuccess(UpstreamState upstream) {
        if (upstream.health.recordSuccess()) {
            timeline.record(
                    EventKind.UPSTREAM_RETURNED,
                    EventField.of("upstream", upstream.known().id()));
        }
    }
}
