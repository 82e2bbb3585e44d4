package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.model.AvailabilityZone;
import java.util.List;

/** The cost of traffic to engines of other zones, and counts of the requests that go there. */
public final class EngineZones {

    private static final String SHORTER = ZoneSpill.Destination.SHORTER_ELSEWHERE.label();

    private final ZoneCost cost;
    private final MetricRegistry metrics;

    /** Creates counts of 0. */
    public EngineZones(ZoneCost cost, MetricRegistry metrics) {
        this.cost = cost;
        this.metrics = metrics;
    }

    ZoneCost cost() {
        return cost;
    }

    /** Counts a prefill by where it is sent; a home engine is the same for the VMs of all zones. */
    void countPrefill(Placement.Decision.Send send, List<Candidate> engines) {
        count("prefill", cost.own(), send.candidate(), engines, send.reason().equals("home") ? "left_home" : SHORTER);
    }

    /** Counts a generation by whether the KV cache of its prompt is transferred to another zone. */
    void countDecode(Candidate chosen, AvailabilityZone cacheZone, List<Candidate> engines) {
        count("decode", cacheZone, chosen, engines, SHORTER);
    }

    private void count(String stage, AvailabilityZone zone, Candidate chosen, List<Candidate> engines, String reason) {
        String destination;
        if (chosen.entry().zone().equals(zone)) {
            destination = ZoneSpill.Destination.KEPT.label();
        } else if (engines.stream().noneMatch(engine -> engine.entry().zone().equals(zone))) {
            destination = ZoneSpill.Destination.NO_UPSTREAM_IN_ZONE.label();
        } else {
            destination = reason;
        }
        metrics.counter("zones." + stage + "." + destination).inc();
    }
}
