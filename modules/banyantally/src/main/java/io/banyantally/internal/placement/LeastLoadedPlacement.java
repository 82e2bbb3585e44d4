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
 * <p>Answers the load of plain services: short requests of similar cost on few slots, sent by several VMs that do not see
 * each other's requests. Own requests count in full; the reported load adds those of others while it is recent. Ties are
 * broken at random, since a fixed order would send all VMs to the same upstream.
 */
public final class LeastLoadedPlacement implements Placement {

    /** A reported load that is older says little about requests that last some ten milliseconds. */
    static final Duration LOAD_VALIDITY = Duration.ofMillis(150);

    /** An upstream is silent while a request has been there for this many times its latency target. */
    private static final double SILENT_TARGETS = 2;

    private final RandomGenerator random;

    /** Creates the policy with a source of tie breaks. */
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
                        .thenComparing(candidate -> isSilent(candidate, demand))
                        .thenComparingDouble(LeastLoadedPlacement::load));
        return least.<Decision>map(chosen -> new Decision.Send(chosen, 0, 1, "least_loaded"))
                .orElseGet(Decision.NoUpstream::new);
    }

    /** An upstream that has not answered for so long may be dead, and a dead one that was idle seems to have no load. */
    private static boolean isSilent(Candidate candidate, Demand demand) {
        return candidate.observedWait() > demand.latencyTarget().toMillis() * SILENT_TARGETS;
    }

    private static double load(Candidate candidate) {
        double others = candidate.peerRequests();
        if (candidate.loadAgeNanos() < LOAD_VALIDITY.toNanos()
                && candidate.load().isPresent()) {
            ReportedLoad load = candidate.load().get();
            others = Math.max(others, load.running() + load.waiting() - candidate.outstandingAtLoad());
        }
        return (candidate.outstanding() + others) / candidate.entry().slots();
    }
}
