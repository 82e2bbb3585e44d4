package io.banyantally.internal.routing;

import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;

/** Takes failing upstreams out of routing, but never more than a part of a service, since then the fault is elsewhere. */
final class OutlierEjection {
    /** At most this part of a service's upstreams is ejected at once, rounded down. */
    static final double MAXIMUM_PART = 0.34;

    private final Timeline timeline;

    OutlierEjection(Timeline timeline) {
        this.timeline = timeline;
    }

    void failed(UpstreamState upstream, UpstreamState[] service, long now) {
        if (!upstream.health.failed()) {
            return;
        }
        int out = 0;
        for (UpstreamState other : service) {
            if (other != upstream && !other.health.isHealthy()) {
                out++;
            }
        }
        boolean alreadyOut = !upstream.health.isHealthy();
        if (alreadyOut || out + 1 <= service.length * MAXIMUM_PART) {
            upstream.health.eject(now);
            timeline.record(
                    EventKind.UPSTREAM_EJECTED,
                    EventField.of("upstream", upstream.known().id()));
        }
    }

    void succeeded(UpstreamState upstream) {
        if (upstream.health.succeeded()) {
            timeline.record(
                    EventKind.UPSTREAM_RETURNED,
                    EventField.of("upstream", upstream.known().id()));
        }
    }
}
