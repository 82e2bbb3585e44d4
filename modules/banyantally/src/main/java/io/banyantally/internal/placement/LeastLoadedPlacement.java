package io.banyantally.internal.placement;

import io.banyantally.deployment.ReportedLoad;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.ArrayList;
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

    /** Of a large service, at most as many upstreams of the own zone are looked at whole, to bound a decision's time. */
    private static final int MAXIMUM_NEAR_LOOKS = 8;

    /** Upstreams with a free slot of which the least loaded is chosen. */
    static final int FREE_DRAWS = 2;

    /** An upstream is unresponsive while a request has waited there for this many times its latency target. */
    private static final int UNRESPONSIVE_LATENCY_TARGETS = 2;

    static final int UNTRUSTED = 4;
    static final int REFUSING = 2;
    private static final int UNRESPONSIVE = 1;

    private static final int NO_FAULT = 0;

    /** The service time as a part of the latency target while none is known; plain targets are 4 to 7 times it. */
    private static final double SERVICE_PART_OF_TARGET = 0.2;

    /** The load from which a request waits for a slot. */
    static final double FULL = 1;

    /** The bytes of a plain request and its response, about a kilobyte each. */
    private static final long PLAIN_BYTES = 2_000;

    private final Supplier<RandomGenerator> random;
    private final Optional<ZoneSpill> spill;

    /**
     * Creates the policy.
     *
     * @param random returns the calling thread's generator, which draws upstreams and breaks ties; use {@code
     *     ThreadLocalRandom::current} outside simulations
     */
    public LeastLoadedPlacement(Supplier<RandomGenerator> random) {
        this(random, Optional.empty());
    }

    /**
     * Creates the policy, which prefers upstreams of this VM's zone if bytes between zones have a price.
     *
     * @param spill decides how many requests leave the zone
     */
    public LeastLoadedPlacement(Supplier<RandomGenerator> random, ZoneSpill spill) {
        this(random, Optional.of(spill).filter(zones -> zones.cost().isPriced()));
    }

    private LeastLoadedPlacement(Supplier<RandomGenerator> random, Optional<ZoneSpill> spill) {
        this.random = random;
        this.spill = spill;
    }

    @Override
    public Decision decide(Demand demand, CandidateSource upstreams) {
        return spill.isPresent() ? decideByZone(demand, upstreams, spill.get()) : decision(choose(demand, upstreams));
    }

    private Optional<Candidate> choose(Demand demand, CandidateSource upstreams) {
        Optional<Candidate> drawn = upstreams.size() > MAXIMUM_DRAWS ? draw(demand, upstreams) : Optional.empty();
        return drawn.or(() -> leastOfAll(demand, upstreams));
    }

    /**
     * Chooses among the upstreams of this zone, and among all others if this zone has no free slot. Traffic costs the
     * same to each other zone, so it is added to the best of them and not to each.
     */
    private Decision decideByZone(Demand demand, CandidateSource upstreams, ZoneSpill zones) {
        ZoneParts parts = upstreams.parts(zones.cost().own());
        Optional<Candidate> near = chooseNear(demand, parts.own(upstreams), upstreams.size());
        if (near.isPresent() && fault(near.get(), demand) == NO_FAULT && cost(near.get()) < FULL) {
            ServiceName service = near.get().entry().service();
            if (zones.share(service) < ZoneSpill.MINIMUM_SHARE) {
                return send(near.get(), ZoneSpill.Destination.KEPT, zones);
            }
        }
        Optional<Candidate> far = chooseFar(demand, parts.others(upstreams));
        if (far.isEmpty()) {
            return near.<Decision>map(upstream -> send(upstream, ZoneSpill.Destination.KEPT, zones))
                    .orElseGet(Decision.NoUpstream::new);
        }
        if (near.isEmpty() || fault(near.get(), demand) > fault(far.get(), demand)) {
            return send(far.get(), ZoneSpill.Destination.NO_UPSTREAM_IN_ZONE, zones);
        }
        boolean leaves = fault(near.get(), demand) == fault(far.get(), demand)
                && random.get().nextDouble()
                        < zones.probability(near.get().entry().service(), gain(near.get(), far.get(), demand, zones));
        return leaves
                ? send(far.get(), ZoneSpill.Destination.SHORTER_ELSEWHERE, zones)
                : send(near.get(), ZoneSpill.Destination.KEPT, zones);
    }

    /** Chooses an upstream of this zone; a large service may have only a few here, all of which are looked at. */
    private Optional<Candidate> chooseNear(Demand demand, CandidateSource upstreams, int serviceSize) {
        int looks = serviceSize > MAXIMUM_DRAWS ? MAXIMUM_NEAR_LOOKS : MAXIMUM_DRAWS;
        Optional<Candidate> drawn = upstreams.size() > looks ? draw(demand, upstreams) : Optional.empty();
        return drawn.or(() -> leastOfAll(demand, upstreams));
    }

    /**
     * Chooses an upstream of another zone, at random in proportion to the free slots. All VMs of a zone that is short
     * would send to the one with the least load until they learn of each other's requests.
     */
    private Optional<Candidate> chooseFar(Demand demand, CandidateSource upstreams) {
        if (upstreams.size() > MAXIMUM_DRAWS) {
            return choose(demand, upstreams);
        }
        List<Candidate> best = new ArrayList<>();
        int leastFault = Integer.MAX_VALUE;
        for (int index = 0; index < upstreams.size(); index++) {
            Optional<Candidate> upstream = upstreams.candidate(index);
            if (upstream.isPresent()) {
                int itsFault = fault(upstream.get(), demand);
                if (itsFault < leastFault) {
                    best.clear();
                    leastFault = itsFault;
                }
                if (itsFault == leastFault) {
                    best.add(upstream.get());
                }
            }
        }
        if (best.isEmpty()) {
            return Optional.empty();
        }
        RandomGenerator generator = random.get();
        double left = generator.nextDouble()
                * best.stream().mapToDouble(LeastLoadedPlacement::freeSlots).sum();
        for (Candidate upstream : best) {
            left -= freeSlots(upstream);
            if (left < 0) {
                return Optional.of(upstream);
            }
        }
        // Without a free slot, the better of two at random is chosen.
        Candidate first = best.get(generator.nextInt(best.size()));
        Candidate second = best.get(generator.nextInt(best.size()));
        return Optional.of(cost(first) <= cost(second) ? first : second);
    }

    private static double freeSlots(Candidate upstream) {
        return Math.max(0, FULL - load(upstream)) * upstream.entry().slots() / Math.max(1, upstream.pace());
    }

    private static Decision send(Candidate upstream, ZoneSpill.Destination destination, ZoneSpill zones) {
        zones.count(destination);
        String reason = destination == ZoneSpill.Destination.KEPT ? "least_loaded" : destination.label();
        return new Decision.Send(upstream, 0, 1, reason);
    }

    /**
     * Returns how much earlier a request completes at the far upstream, less the cost of traffic and the least gain that
     * is worth leaving, in service times. A free slot is not better for being on an upstream with more of them, so a far
     * upstream counts as full at least.
     */
    private static double gain(Candidate near, Candidate far, Demand demand, ZoneSpill zones) {
        double serviceMillis = near.slotMillis() > 0
                ? near.slotMillis()
                : Math.max(1, demand.latencyTarget().toMillis() * SERVICE_PART_OF_TARGET);
        double traffic = zones.cost().millis(far.entry().zone(), PLAIN_BYTES) / serviceMillis;
        return cost(near) - far.pace() * Math.max(FULL, load(far)) - traffic - ZoneSpill.MINIMUM_GAIN;
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
