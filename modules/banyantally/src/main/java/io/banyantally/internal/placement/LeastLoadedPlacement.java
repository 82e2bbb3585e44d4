package io.banyantally.internal.placement;

import io.banyantally.deployment.ReportedLoad;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream with the least load.
 *
 * <p>Designed for plain services: short requests of similar cost on few slots, sent by several VMs that do not see each
 * other's requests. The requests of this process count in full; those of others are taken from peers and from
 * the reported load while it is recent. Ties are broken at random, since a fixed order would send all VMs to the same
 * upstream.
 */
public final class LeastLoadedPlacement implements Placement {

    /** An older reported load is of little use, since requests take tens of milliseconds. */
    static final Duration MAXIMUM_LOAD_AGE = Duration.ofMillis(150);

    /** An upstream is unresponsive while a request has waited there for this many times its latency target. */
    private static final double UNRESPONSIVE_LATENCY_TARGETS = 2;

    private final RandomGenerator random;

    /** Creates the policy; {@code random} breaks ties. */
    public LeastLoadedPlacement(RandomGenerator random) {
        this.random = random;
    }

    @Override
    public Decision decide(Demand demand, List<Candidate> candidates) {
        List<Candidate> shuffled = new ArrayList<>(candidates);
        for (int last = shuffled.size() - 1; last > 0; last--) {
            Collections.swap(shuffled, last, random.nextInt(last + 1));
        }
        Optional<Candidate> least = shuffled.stream()
                .min(Comparator.comparing((Candidate candidate) -> !candidate.trusted())
                        .thenComparing(Candidate::refusing)
                        .thenComparing(candidate -> isUnresponsive(candidate, demand))
                        .thenComparingDouble(LeastLoadedPlacement::load));
        return least.<Decision>map(chosen -> new Decision.Send(chosen, 0, 1, "least_loaded"))
                .orElseGet(Decision.NoUpstream::new);
    }

    /** Such an upstream may be down, and one that was idle when it went down would seem to have no load. */
    private static boolean isUnresponsive(Candidate candidate, Demand demand) {
        return candidate.observedWaitMillis() > demand.latencyTarget().toMillis() * UNRESPONSIVE_LATENCY_TARGETS;
    }

    private static double load(Candidate candidate) {
        double otherVmRequests = candidate.peerRequests();
        if (candidate.loadAgeNanos() < MAXIMUM_LOAD_AGE.toNanos()
                && candidate.load().isPresent()) {
            ReportedLoad load = candidate.load().get();
            otherVmRequests =
                    Math.max(otherVmRequests, load.running() + load.waiting() - candidate.outstandingAtLoad());
        }
        return (candidate.outstanding() + otherVmRequests) / candidate.entry().slots();
    }
}
