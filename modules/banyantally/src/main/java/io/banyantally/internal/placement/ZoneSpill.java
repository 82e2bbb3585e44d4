package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The share of plain requests that this VM sends to another zone, by service.
 *
 * <p>VMs learn of each other's requests up to 140 ms late, so if each sent a request wherever it completes earlier, all
 * VMs of a zone would leave it together and return together. Instead a request leaves at random, with the share of the
 * last second, raised or lowered in proportion to what is gained by leaving now.
 */
public final class ZoneSpill {

    /** How much a gain of one service time raises the share that leaves; with more, VMs leave and return together. */
    static final double SHARE_PER_GAIN = 0.3;

    /**
     * The gain in service times from which leaving is worth it. A queue of half a service time keeps the zone's slots
     * busy between two messages of other VMs; without it, a zone that is short by a tenth sends up to three tenths.
     */
    static final double MINIMUM_GAIN = 0.5;

    /** The time over which the share is averaged. */
    static final Duration AVERAGING_TIME = Duration.ofSeconds(1);

    /** A smaller share is none: upstreams elsewhere are not looked at while the zone has a free slot. */
    static final double MINIMUM_SHARE = 0.02;

    /** The share from which the shortage of a zone is logged; its end is logged at the smallest share. */
    private static final double LOGGED_SHARE = 0.05;

    private static final EventLog LOG = EventLog.of(ZoneSpill.class);

    private final ZoneCost cost;
    private final MonotonicClock clock;
    private final MetricRegistry metrics;
    private final Map<ServiceName, Share> shares = new ConcurrentHashMap<>();

    /** Creates a share of 0 for each service. */
    public ZoneSpill(ZoneCost cost, MonotonicClock clock, MetricRegistry metrics) {
        this.cost = cost;
        this.clock = clock;
        this.metrics = metrics;
    }

    ZoneCost cost() {
        return cost;
    }

    /** Returns the share of a service's requests that has lately left the zone. */
    double share(ServiceName service) {
        Share share = shares.get(service);
        return share == null ? 0 : share.average();
    }

    /**
     * Returns the probability with which a request should leave the zone, and counts it in the share.
     *
     * @param gain how much earlier the request completes elsewhere, less the cost of traffic, in service times
     */
    double probability(ServiceName service, double gain) {
        Share share = shares.computeIfAbsent(service, name -> new Share(clock.nanoTime()));
        return share.next(service, gain, clock.nanoTime());
    }

    /** Counts a plain request by where it is sent. */
    void count(Destination destination) {
        metrics.counter("zones.plain." + destination.label()).inc();
    }

    /** Where a request is sent. */
    enum Destination {
        KEPT("kept"),
        NO_UPSTREAM_IN_ZONE("left_no_upstream"),
        SHORTER_ELSEWHERE("left_shorter");

        private final String label;

        Destination(String label) {
            this.label = label;
        }

        String label() {
            return label;
        }
    }

    private static final class Share {
        private double average;
        private long updatedAt;
        private boolean leaving;

        Share(long now) {
            updatedAt = now;
        }

        synchronized double average() {
            return average;
        }

        synchronized double next(ServiceName service, double gain, long now) {
            double probability = Math.clamp(average + SHARE_PER_GAIN * gain, 0, 1);
            double weight = Math.min(1, (now - updatedAt) / (double) AVERAGING_TIME.toNanos());
            average += (probability - average) * weight;
            updatedAt = now;
            if (leaving ? average < MINIMUM_SHARE : average >= LOGGED_SHARE) {
                leaving = !leaving;
                LOG.info(
                        leaving ? "zone_short" : "zone_sufficient",
                        EventField.of("service", service),
                        EventField.of("gain", gain));
            }
            return probability;
        }
    }
}
