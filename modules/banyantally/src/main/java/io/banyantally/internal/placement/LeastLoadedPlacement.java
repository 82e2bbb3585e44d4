package io.banyantally.internal.placement;

import io.banyantally.deployment.ReportedLoad;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Chooses the upstream with the earliest expected completion, in a large service among a few that are drawn at random.
 * Where upstreams do not report how long work takes, that is the one with the least load.
 *
 * <p>Designed for plain services: short requests of similar cost on few slots, sent by several VMs that do not see each
 * other's requests. The requests of this process count in full; those of others are taken from peers and from
 * the reported load while it is recent. Ties are broken at random, since a fixed order would send all VMs to the same
 * upstream.
 *
 * <p>The time to look at all upstreams grows with their number, and a request starts at once at any that has a free
 * slot. The least loaded of all is searched only if none of those drawn has a free slot, is trusted and responds, so
 * that no request waits or is refused while another upstream could start it. The search passes over upstreams that
 * earlier looks rule out.
 */
public final class LeastLoadedPlacement implements Placement {

    /** An older reported load is of little use, since requests take tens of milliseconds. */
    static final Duration MAXIMUM_LOAD_AGE = Duration.ofMillis(150);

    /** A service of at most as many upstreams is looked at whole, which takes no longer than drawing as many. */
    static final int MAXIMUM_DRAWS = 32;

    /** Upstreams with a free slot of which the least loaded is chosen. */
    static final int FREE_DRAWS = 2;

    /** An upstream is unresponsive while a request has waited there for this many times its latency target. */
    private static final int UNRESPONSIVE_LATENCY_TARGETS = 2;

    static final int UNTRUSTED = 4;
    static final int REFUSING = 2;
    private static final int UNRESPONSIVE = 1;

    private static final int NO_FAULT = 0;

    /** The load from which a request waits for a slot. */
    static final double FULL = 1;

    private final Supplier<RandomGenerator> random;

    /**
     * Creates the policy.
     *
     * @param random returns the calling thread's generator, which draws upstreams and breaks ties; use {@code
     *     ThreadLocalRandom::current} outside simulations
     */
    public LeastLoadedPlacement(Supplier<RandomGenerator> random) {
        this.random = random;
    }

    @Override
    public Decision decide(Demand demand, CandidateSource upstreams) {
        Optional<Candidate> drawn = upstreams.size() > MAXIMUM_DRAWS ? draw(demand, upstreams) : Optional.empty();
        return decision(drawn.or(() -> leastOfAll(demand, upstreams)));
    }

    /** Decides after a look at all candidates, however many there are. */
    Decision decide(Demand demand, List<Candidate> candidates) {
        Least least = new Least(demand);
        candidates.forEach(least::add);
        return decision(least.chosen());
    }

    private static Decision decision(Optional<Candidate> chosen) {
        return chosen.<Decision>map(upstream -> new Decision.Send(upstream, 0, 1, "least_loaded"))
                .orElseGet(Decision.NoUpstream::new);
    }

    /** Returns the least loaded of the upstreams drawn that have a free slot; empty if there is none. */
    private Optional<Candidate> draw(Demand demand, CandidateSource upstreams) {
        Least least = new Least(demand);
        RandomGenerator generator = random.get();
        int free = 0;
        for (int draws = 0; draws < MAXIMUM_DRAWS && free < FREE_DRAWS; draws++) {
            int index = generator.nextInt(upstreams.size());
            if (!upstreams.mayBeBelow(index, NO_FAULT, FULL, least.unresponsiveNanos)) {
                continue;
            }
            Optional<Candidate> drawn = upstreams.candidate(index);
            if (drawn.isPresent() && fault(drawn.get(), demand) == NO_FAULT && cost(drawn.get()) < FULL) {
                free++;
                least.add(drawn.get());
            }
        }
        return least.chosen();
    }

    private Optional<Candidate> leastOfAll(Demand demand, CandidateSource upstreams) {
        Least least = new Least(demand);
        int size = upstreams.size();
        // Of equal candidates of a large service, the first one after a random start is chosen.
        int start = size > MAXIMUM_DRAWS ? random.get().nextInt(size) : 0;
        for (int step = 0; step < size; step++) {
            int index = start + step < size ? start + step : start + step - size;
            if (size <= MAXIMUM_DRAWS || least.mayAdd(index, upstreams)) {
                upstreams.candidate(index).ifPresent(least::add);
            }
        }
        return least.chosen();
    }

    /** Returns whether an upstream with this bound may have a lower fault, or the same fault and a lower load. */
    static boolean mayBeBelow(LoadBound bound, long now, int fault, double load, long unresponsiveNanos) {
        if (bound.fault() > fault || (bound.fault() == fault && bound.load() >= load)) {
            return false;
        }
        int itsFault = bound.fault() + (bound.waitsLonger(unresponsiveNanos, now) ? UNRESPONSIVE : 0);
        return itsFault < fault || (itsFault == fault && bound.load() < load);
    }

    /** Returns how much speaks against an upstream; 0 if nothing does. */
    static int fault(Candidate candidate, Demand demand) {
        return (candidate.trusted() ? 0 : UNTRUSTED)
                + (candidate.refusing() ? REFUSING : 0)
                + (isUnresponsive(candidate, demand) ? UNRESPONSIVE : 0);
    }

    /** Such an upstream may be down, and one that was idle when it went down would seem to have no load. */
    private static boolean isUnresponsive(Candidate candidate, Demand demand) {
        return candidate.observedWaitMillis() > demand.latencyTarget().toMillis() * UNRESPONSIVE_LATENCY_TARGETS;
    }

    /** Returns the requests at an upstream, as far as known, for each of its slots. */
    static double load(Candidate candidate) {
        double otherVmRequests = candidate.peerRequests();
        if (candidate.loadAgeNanos() < MAXIMUM_LOAD_AGE.toNanos()
                && candidate.load().isPresent()) {
            ReportedLoad load = candidate.load().get();
            otherVmRequests =
                    Math.max(otherVmRequests, load.running() + load.waiting() - candidate.outstandingAtLoad());
        }
        return (candidate.outstanding() + otherVmRequests) / candidate.entry().slots();
    }

    /**
     * Returns the expected completion of a request at an upstream, on a scale on which it equals the load at an upstream
     * where work takes the usual time: a request that waits for a slot, or whose work takes longer, completes later.
     */
    static double cost(Candidate candidate) {
        return cost(candidate, candidate.pace());
    }

    /** Returns the least cost until the next report: the pace of an older report comes closer to the usual one. */
    static double leastCost(Candidate candidate) {
        return cost(candidate, Math.min(1, candidate.pace()));
    }

    private static double cost(Candidate candidate, double pace) {
        double load = load(candidate);
        return pace * Math.max(FULL, load) - FULL + Math.min(FULL, load);
    }

    /** The least loaded of the candidates seen so far, of which those without a fault come first. */
    private final class Least {
        private final Demand demand;
        private final long unresponsiveNanos;
        private final RandomGenerator generator = random.get();
        private Optional<Candidate> chosen = Optional.empty();
        private int fault;
        private double load;
        private int ties;

        Least(Demand demand) {
            this.demand = demand;
            this.unresponsiveNanos =
                    TimeUnit.MILLISECONDS.toNanos(demand.latencyTarget().toMillis() * UNRESPONSIVE_LATENCY_TARGETS);
        }

        boolean mayAdd(int index, CandidateSource upstreams) {
            return chosen.isEmpty()
                    ? upstreams.mayBeBelow(index, LoadBound.EXCLUDED, 0, unresponsiveNanos)
                    : upstreams.mayBeBelow(index, fault, load, unresponsiveNanos);
        }

        void add(Candidate candidate) {
            int itsFault = fault(candidate, demand);
            double itsLoad = cost(candidate);
            int order = itsFault != fault ? Integer.compare(itsFault, fault) : Double.compare(itsLoad, load);
            if (chosen.isEmpty() || order < 0) {
                ties = 0;
            } else if (order > 0) {
                return;
            }
            ties++;
            // Of equal candidates, each is chosen with the same probability.
            if (generator.nextInt(ties) == 0) {
                chosen = Optional.of(candidate);
                fault = itsFault;
                load = itsLoad;
            }
        }

        Optional<Candidate> chosen() {
            return chosen;
        }
    }
}
