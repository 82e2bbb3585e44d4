package io.banyantally.internal.placement;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.internal.routing.Rendezvous;
import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses the engine for the prefill of a prompt and the engine that generates its answer, or refuses the request.
 *
 * <p>Designed for two kinds of load, whose shares change in opposite directions.
 *
 * <ul>
 *   <li>Long prompts with short outputs, of which two thirds are shared by a session. Prefill engines compute them at
 *       twice the rate of other engines and without delaying the decoding steps of running generations. Each session
 *       has a home engine by rendezvous hashing, on which all VMs agree without a message, since one engine caches only
 *       a part of all sessions. If the queue of the home takes longer than computing the session's tokens elsewhere,
 *       the next engines of the hash order are used, so that all VMs spill a session to the same engines.
 *   <li>Short prompts with long outputs. They are sent directly to a decoding engine, and occupy one of its slots for
 *       seconds.
 * </ul>
 *
 * <p>While prompts arrive faster than all engines can compute them, a queue longer than the latency target makes every
 * answer late. A request that would wait so long is refused at once, which keeps the queue at a length where engines
 * are never idle and answers are in time. The limit is on the wait and not on the request's own prefill, so that long
 * prompts are not starved. After a loss of engines the slots of the decoding engines may run out instead: while the
 * wait for a slot exceeds the latency target at all of them, requests are refused before the prefill of their prompt.
 */
public final class EnginePlacement {

    /** Shorter prompts are computed by the decoding engine: a second call would cost more than their prefill. */
    static final int MINIMUM_PREFILL_TOKENS = 1024;

    /** Engines after the home engine to which a session spills. */
    static final int SPILL_ENGINES = 2;

    /**
     * The fraction of the latency target that a request may wait before its prefill; the rest is for its prefill, the
     * tokens of the first event and the network. The request's own prefill does not count, so that long prompts are not
     * starved.
     */
    static final double MAXIMUM_WAIT_FRACTION = 0.35;

    /** Older reported loads are not used, since the load changes with every request. */
    static final Duration MAXIMUM_LOAD_AGE = Duration.ofMillis(300);

    /** Transferring a KV cache to an engine of another zone has half the speed and up to three times the price. */
    static final double OTHER_ZONE_PENALTY = 0.25;

    /** Retry delays are spread at random over this span, so that refused callers do not retry at the same time. */
    private static final int RETRY_SPREAD_MILLIS = 250;

    /** Decoding engines with a larger fraction of their slots occupied do not compute long prompts. */
    static final double MAXIMUM_OVERFLOW_OCCUPANCY = 0.25;

    /** Upper bound of the random amount that breaks ties between engines of equal load. */
    private static final double MAXIMUM_TIE_BREAK = 0.01;

    /** The weight of one prompt in the moving share of refused ones; a VM places about 50 prompts a second. */
    private static final double REFUSED_SHARE_SMOOTHING = 0.02;

    /**
     * What the pace of an idle engine counts for, as a fraction of its slots: its tokens take longer although no other
     * request is there.
     */
    private static final double IDLE_COST = 0.5;

    /** The text of a prompt token in a request to a prefill engine, which is what such a request mainly contains. */
    private static final long BYTES_PER_PROMPT_TOKEN = 4;

    private static final String HOME = "home";
    private static final String SPILLED = "spilled";

    private final RandomGenerator random;
    private final EngineRates rates;
    private final Optional<EngineZones> zones;
    private double refusedShare;

    /** Creates the policy; {@code random} breaks ties and spreads the retry delays of refused callers. */
    public EnginePlacement(RandomGenerator random, EngineRates rates) {
        this(random, rates, Optional.empty());
    }

    /** Creates the policy, which adds the cost of traffic between zones to expected completions. */
    public EnginePlacement(RandomGenerator random, EngineRates rates, EngineZones zones) {
        this(random, rates, Optional.of(zones));
    }

    private EnginePlacement(RandomGenerator random, EngineRates rates, Optional<EngineZones> zones) {
        this.random = random;
        this.rates = rates;
        this.zones = zones;
    }

    /** Returns the measured rates of engines. */
    public EngineRates rates() {
        return rates;
    }

    /** Returns whether a prompt is long enough for a separate call to a prefill engine. */
    public static boolean isLongPrompt(Placement.Demand demand) {
        return demand.prompt().isPresent() && demand.prompt().get().promptTokens() >= MINIMUM_PREFILL_TOKENS;
    }

    /** Chooses the prefill engine of a long prompt, or refuses the request if it would wait too long. */
    public synchronized Placement.Decision decidePrefill(Placement.Demand demand, List<Candidate> candidates) {
        Placement.Decision decision = choosePrefill(demand, candidates);
        if (!(decision instanceof Placement.Decision.NoUpstream)) {
            double refused = decision instanceof Placement.Decision.Refuse ? 1 : 0;
            refusedShare += (refused - refusedShare) * REFUSED_SHARE_SMOOTHING;
        }
        return decision;
    }

    private Placement.Decision choosePrefill(Placement.Demand demand, List<Candidate> candidates) {
        List<Candidate> engines = eligible(candidates, EngineStage.PREFILL);
        if (engines.isEmpty()) {
            return new Placement.Decision.NoUpstream();
        }
        List<Candidate> decoding = eligible(candidates, EngineStage.DECODE);
        if (!decoding.isEmpty() && withSlotInTime(decoding, demand).isEmpty()) {
            return refuseWithoutSlot(demand, decoding);
        }
        Placement.Decision.Send best = fastestOfHomeAndSpill(demand, engines);
        double limit = maximumWaitMillis(demand);
        if (best.waitMillis() > limit) {
            best = shortestQueue(demand, engines);
        }
        if (best.waitMillis() > limit) {
            return refuse(best.waitMillis(), limit);
        }
        if (zones.isPresent()) {
            zones.get().countPrefill(best, engines);
        }
        return best;
    }

    /** Chooses the engine that generates the answer if the size of a KV cache is not known. */
    public Placement.Decision decideDecode(
            Placement.Demand demand, List<Candidate> candidates, Optional<AvailabilityZone> cacheZone) {
        return decideDecode(demand, candidates, cacheZone, 0);
    }

    /**
     * Chooses the engine that generates the answer, or refuses the request if no slot is free in time.
     *
     * @param cacheZone the zone of the prompt's KV cache; empty if no prefill engine has computed it
     * @param cacheTokenBytes the size of the KV cache of a token; 0 if it is not known
     */
    public synchronized Placement.Decision decideDecode(
            Placement.Demand demand,
            List<Candidate> candidates,
            Optional<AvailabilityZone> cacheZone,
            long cacheTokenBytes) {
        List<Candidate> engines = eligible(candidates, EngineStage.DECODE);
        if (engines.isEmpty()) {
            return new Placement.Decision.NoUpstream();
        }
        List<Candidate> inTime = withSlotInTime(engines, demand);
        if (inTime.isEmpty()) {
            return refuseWithoutSlot(demand, engines);
        }
        Candidate least = least(
                inTime,
                engine -> decodingCost(engine)
                        + cacheZone
                                .map(zone -> transferCost(demand, zone, engine, cacheTokenBytes))
                                .orElse(0.0)
                        + random.nextDouble() * MAXIMUM_TIE_BREAK);
        if (zones.isPresent() && cacheZone.isPresent()) {
            zones.get().countDecode(least, cacheZone.get(), inTime);
        }
        return new Placement.Decision.Send(
                least, slotWaitMillis(least), 0, cacheZone.isPresent() ? "after_prefill" : "least_loaded");
    }

    /** Returns the engine of the least cost, which is computed once for each, since it has a random part. */
    private static Candidate least(List<Candidate> engines, ToDoubleFunction<Candidate> cost) {
        Candidate least = engines.getFirst();
        double leastCost = cost.applyAsDouble(least);
        for (Candidate engine : engines.subList(1, engines.size())) {
            double itsCost = cost.applyAsDouble(engine);
            if (itsCost < leastCost) {
                least = engine;
                leastCost = itsCost;
            }
        }
        return least;
    }

    /**
     * Returns what transferring the KV cache of a prompt to an engine costs, as a fraction of the engine's slots: a
     * request of another zone costs as much as the same fraction of a slot's time.
     */
    private double transferCost(
            Placement.Demand demand, AvailabilityZone cacheZone, Candidate engine, long cacheTokenBytes) {
        if (cacheZone.equals(engine.entry().zone())) {
            return 0;
        }
        if (zones.isEmpty() || !zones.get().cost().isPriced() || cacheTokenBytes <= 0) {
            return OTHER_ZONE_PENALTY;
        }
        long tokens = demand.prompt().map(PromptMetadata::promptTokens).orElse(0);
        double slotMillis = engine.slotMillis() > 0
                ? engine.slotMillis()
                : Math.max(1, demand.latencyTarget().toMillis());
        return zones.get().cost().millisBetween(cacheZone, engine.entry().zone(), tokens * cacheTokenBytes)
                / slotMillis;
    }

    /** Returns what sending a prompt to an engine costs, in milliseconds. */
    private double trafficMillis(Placement.Demand demand, Candidate engine) {
        long tokens = demand.prompt().map(PromptMetadata::promptTokens).orElse(0);
        return zones.map(known -> known.cost().millis(engine.entry().zone(), tokens * BYTES_PER_PROMPT_TOKEN))
                .orElse(0.0);
    }

    /**
     * Chooses a decoding engine that computes a long prompt itself while all prefill engines are full. Only engines
     * with few generations get such prompts, since a prefill delays the events of running generations.
     */
    public synchronized Placement.Decision decideOverflow(Placement.Demand demand, List<Candidate> candidates) {
        Optional<Candidate> least = eligible(candidates, EngineStage.DECODE).stream()
                .filter(engine -> occupancy(engine) < MAXIMUM_OVERFLOW_OCCUPANCY
                        && queuedMillis(engine) < rates.decodingPrefillMillis(engine, demand))
                .min(Comparator.comparingDouble(EnginePlacement::queuedMillis));
        return least.<Placement.Decision>map(engine -> new Placement.Decision.Send(
                        engine, queuedMillis(engine), rates.decodingPrefillMillis(engine, demand), "overflow"))
                .orElseGet(Placement.Decision.NoUpstream::new);
    }

    /** Returns the moving share of prompts that were refused by the choice of a prefill engine, from 0 to 1. */
    public synchronized double refusedShare() {
        return refusedShare;
    }

    private static List<Candidate> eligible(List<Candidate> candidates, EngineStage stage) {
        List<Candidate> ofStage = candidates.stream()
                .filter(candidate -> candidate.entry().stage() == stage
                        || (stage == EngineStage.DECODE && candidate.entry().stage() == EngineStage.NONE))
                .toList();
        List<Candidate> trusted = ofStage.stream().filter(Candidate::trusted).toList();
        List<Candidate> accepting =
                trusted.stream().filter(candidate -> !candidate.refusing()).toList();
        return !accepting.isEmpty() ? accepting : trusted.isEmpty() ? ofStage : trusted;
    }

    private Placement.Decision.Send fastestOfHomeAndSpill(Placement.Demand demand, List<Candidate> engines) {
        String session = demand.prompt().map(EnginePlacement::sessionId).orElse("");
        List<Candidate> ranked = engines.stream()
                .sorted(Comparator.comparingLong((Candidate engine) ->
                                Rendezvous.weight(session, engine.entry().id()))
                        .reversed())
                .limit(1L + SPILL_ENGINES)
                .toList();
        Placement.Decision.Send best = null;
        double bestMillis = 0;
        for (int rank = 0; rank < ranked.size(); rank++) {
            Candidate engine = ranked.get(rank);
            Placement.Decision.Send choice = new Placement.Decision.Send(
                    engine,
                    waitMillis(engine),
                    rates.prefillMillis(engine, demand, CacheExpectation.ofRank(rank, SPILL_ENGINES)),
                    rank == 0 ? HOME : SPILLED);
            double millis = choice.waitMillis() + choice.work() + trafficMillis(demand, engine);
            if (best == null || millis < bestMillis) {
                best = choice;
                bestMillis = millis;
            }
        }
        return best;
    }

    /**
     * Returns the decoding engines that would start a request within the latency target; with a longer wait, its answer
     * would be late in any case.
     */
    private static List<Candidate> withSlotInTime(List<Candidate> engines, Placement.Demand demand) {
        return engines.stream()
                .filter(engine ->
                        slotWaitMillis(engine) <= demand.latencyTarget().toMillis())
                .toList();
    }

    /**
     * Returns how long a request waits for a slot of a decoding engine, in milliseconds: the wait that this process
     * observes there, or the time until the requests ahead of it have got a slot, whichever is longer.
     */
    private static double slotWaitMillis(Candidate engine) {
        double slots = engine.entry().slots();
        double requestsAhead = Math.max(0, occupancy(engine) * slots - slots + 1);
        return Math.max(engine.observedWaitMillis(), requestsAhead / slots * engine.slotMillis() * engine.pace());
    }

    private Placement.Decision.Refuse refuseWithoutSlot(Placement.Demand demand, List<Candidate> engines) {
        double wait = engines.stream()
                .mapToDouble(EnginePlacement::slotWaitMillis)
                .min()
                .orElseThrow();
        return refuse(wait, (double) demand.latencyTarget().toMillis());
    }

    /** Refuses a request until the wait should be within its limit, with a random delay on top. */
    private Placement.Decision.Refuse refuse(double waitMillis, double limitMillis) {
        long delay = (long) (waitMillis - limitMillis) + random.nextInt(RETRY_SPREAD_MILLIS);
        return new Placement.Decision.Refuse(waitMillis, Duration.ofMillis(delay));
    }

    /**
     * Returns the engine with the shortest queue, even if it has no cache of the session: computing it again is better
     * than a refusal.
     */
    private Placement.Decision.Send shortestQueue(Placement.Demand demand, List<Candidate> engines) {
        Candidate least = engines.stream()
                .min(Comparator.comparingDouble(EnginePlacement::waitMillis))
                .orElseThrow();
        double work = rates.prefillMillis(least, demand, CacheExpectation.NONE);
        return new Placement.Decision.Send(least, waitMillis(least), work, "any");
    }

    private static double maximumWaitMillis(Placement.Demand demand) {
        return MAXIMUM_WAIT_FRACTION * demand.latencyTarget().toMillis();
    }

    /**
     * Returns how long a request waits for the prompts that are already at an engine, in milliseconds, as far as known.
     */
    private static double waitMillis(Candidate engine) {
        return Math.max(engine.observedWaitMillis(), queuedMillis(engine));
    }

    private static double queuedMillis(Candidate engine) {
        return engine.outstandingWork() + engine.peerWork();
    }

    /** Returns the occupancy of an engine, weighted by the time that its work takes. */
    private static double decodingCost(Candidate engine) {
        return (occupancy(engine) + IDLE_COST) * engine.pace() - IDLE_COST;
    }

    /** Returns the fraction of an engine's slots that is occupied; more than 1 if requests wait for a slot. */
    private static double occupancy(Candidate engine) {
        return (engine.outstanding() + Math.max(engine.peerRequests(), otherVmRequests(engine)))
                / engine.entry().slots();
    }

    /**
     * Returns how many requests of other VMs are at an engine by its reported load, weighted down with the age of the
     * report.
     */
    private static double otherVmRequests(Candidate engine) {
        if (engine.loadAgeNanos() >= MAXIMUM_LOAD_AGE.toNanos() || engine.load().isEmpty()) {
            return 0;
        }
        ReportedLoad load = engine.load().get();
        double freshness = 1 - engine.loadAgeNanos() / (double) MAXIMUM_LOAD_AGE.toNanos();
        return Math.max(0, load.running() + load.waiting() - engine.outstandingAtLoad()) * freshness;
    }

    /** Returns the id of the last prompt part that other requests share, which identifies the session. */
    static String sessionId(PromptMetadata prompt) {
        List<PromptPart> parts = prompt.parts();
        return parts.isEmpty() ? "" : parts.get(Math.max(0, parts.size() - 2)).id();
    }

    /** Returns what was expected of the session's cache when an engine was chosen for a prefill. */
    static CacheExpectation cacheExpectation(Placement.Decision.Send choice) {
        return switch (choice.reason()) {
            case HOME -> CacheExpectation.HOME;
            case SPILLED -> CacheExpectation.SPILLED;
            default -> CacheExpectation.NONE;
        };
    }
}
