package io.banyantally.internal.placement;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.internal.routing.Rendezvous;
import io.banyantally.model.AvailabilityZone;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses the engine that reads a prompt and the engine that generates its answer, or refuses.
 *
 * <p>Answers two loads that swing against each other.
 *
 * <ul>
 *   <li>Long prompts with short outputs, of which two thirds are shared by a session. They are read by prefill engines, at
 *       twice the rate of others and without stretching the steps of running generations. Each session has a home engine
 *       by rendezvous hashing, on which all VMs agree without a message, since one engine caches only a part of all
 *       sessions. A home whose queue exceeds what reading the session elsewhere costs is passed over for the next engines
 *       of the hash, so that all VMs spill a session to the same place.
 *   <li>Short prompts with long outputs. They go straight to a decoding engine, and keep one of its slots for seconds.
 * </ul>
 *
 * <p>While prompts arrive faster than all engines read, a queue longer than the latency target makes every answer late. A
 * request that would wait so long is refused at once, which keeps the queue at the length where engines never idle and
 * answers are in time. The limit is on the wait and not on the request's own reading, so that long prompts are not starved.
 * After a loss of engines the slots of the decoding engines may run out instead: while the wait for one exceeds the latency
 * target at all of them, requests are refused before their prompt is read.
 */
public final class EnginePlacement {

    /** Prompt tokens that a prefill engine reads in a millisecond. */
    static final double PREFILL_TOKENS_PER_MILLI = 514;

    /** A decoding engine reads at half of the rate, between the tokens of other requests. */
    static final double DECODE_TOKENS_PER_MILLI = PREFILL_TOKENS_PER_MILLI / 2;

    /** Shorter prompts are read by the decoding engine: a second call costs more than their reading. */
    static final int SHORTEST_PREFILL_TOKENS = 1024;

    /** Engines after the home that take a session's overflow. */
    static final int SPILL_ENGINES = 2;

    /**
     * The part of the latency target that a request may wait before its prompt is read; the rest is its reading, the first
     * event's tokens and the network. The request's own reading does not count, so that long prompts are not starved.
     */
    static final double WAIT_PART = 0.35;

    /** Reported loads are used up to this age; they change with every request. */
    static final Duration LOAD_VALIDITY = Duration.ofMillis(300);

    /** Memory goes to an engine of another zone at half the speed and up to three times the price. */
    static final double OTHER_ZONE_PENALTY = 0.25;

    /** The reading time of a prompt of unknown size, in milliseconds. */
    private static final double UNKNOWN_READING_MILLIS = 8;

    /** Refused callers return over this span, so that they do not come back together. */
    private static final int RETRY_SPREAD_MILLIS = 250;

    /** Decoding engines with more of their slots taken read no long prompts. */
    static final double MOST_OCCUPIED_FOR_OVERFLOW = 0.25;

    /** The part of prompts whose session is no longer cached at its home. */
    static final double HOME_MISS_PART = 0.35;

    /** What attention to one earlier token adds to the reading of a token, from the engines' sheet. */
    static final double MILLIS_PER_PAIR = 8.08e-8;

    /** Breaks ties between engines of equal load. */
    private static final double TIE_BREAK = 0.01;

    /** The weight of one prompt in the share of refused ones; a VM decides on some fifty prompts a second. */
    private static final double REFUSED_WEIGHT = 0.02;

    private final RandomGenerator random;
    private double refusedShare;

    /** Creates the policy with a source for tie breaks and for the spread of returning callers. */
    public EnginePlacement(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether a prompt is worth a call to a prefill engine. */
    public static boolean isLongPrompt(Placement.Demand demand) {
        return demand.prompt().isPresent() && demand.prompt().get().promptTokens() >= SHORTEST_PREFILL_TOKENS;
    }

    /** Chooses the prefill engine of a long prompt. */
    public synchronized Placement.Decision decidePrefill(Placement.Demand demand, List<Candidate> candidates) {
        Placement.Decision decision = choosePrefill(demand, candidates);
        if (!(decision instanceof Placement.Decision.NoUpstream)) {
            double refused = decision instanceof Placement.Decision.Refuse ? 1 : 0;
            refusedShare += (refused - refusedShare) * REFUSED_WEIGHT;
        }
        return decision;
    }

    private Placement.Decision choosePrefill(Placement.Demand demand, List<Candidate> candidates) {
        List<Candidate> engines = usable(candidates, EngineStage.PREFILL);
        if (engines.isEmpty()) {
            return new Placement.Decision.NoUpstream();
        }
        List<Candidate> decoding = usable(candidates, EngineStage.DECODE);
        if (!decoding.isEmpty() && withSlotInTime(decoding, demand).isEmpty()) {
            return withoutSlots(demand, decoding);
        }
        Placement.Decision.Send best = cheapest(demand, engines);
        double limit = longestWait(demand);
        if (best.waitMillis() > limit) {
            best = leastQueued(demand, engines);
        }
        return best.waitMillis() > limit ? full(best.waitMillis(), limit) : best;
    }

    /** Chooses the engine that generates the answer; {@code memory} is the zone of the KV cache of the prompt, if any. */
    public synchronized Placement.Decision decideDecode(
            Placement.Demand demand, List<Candidate> candidates, Optional<AvailabilityZone> memory) {
        List<Candidate> engines = usable(candidates, EngineStage.DECODE);
        if (engines.isEmpty()) {
            return new Placement.Decision.NoUpstream();
        }
        List<Candidate> inTime = withSlotInTime(engines, demand);
        if (inTime.isEmpty()) {
            return withoutSlots(demand, engines);
        }
        Candidate least = inTime.stream()
                .min(Comparator.comparingDouble(engine -> occupancy(engine)
                        + (memory.isPresent()
                                        && !memory.get().equals(engine.entry().zone())
                                ? OTHER_ZONE_PENALTY
                                : 0)
                        + random.nextDouble() * TIE_BREAK))
                .orElseThrow();
        return new Placement.Decision.Send(
                least, slotWait(least), 0, memory.isPresent() ? "after_prefill" : "least_loaded");
    }

    /**
     * Chooses a decoding engine that reads a long prompt itself while all prefill engines are full. Only engines with few
     * generations take such prompts, since reading stretches the pauses between their events.
     */
    public synchronized Placement.Decision decideOverflow(Placement.Demand demand, List<Candidate> candidates) {
        double work = reading(demand.prompt(), 0, DECODE_TOKENS_PER_MILLI);
        Optional<Candidate> least = usable(candidates, EngineStage.DECODE).stream()
                .filter(engine -> occupancy(engine) < MOST_OCCUPIED_FOR_OVERFLOW && queuedMillis(engine) < work)
                .min(Comparator.comparingDouble(EnginePlacement::queuedMillis));
        return least.<Placement.Decision>map(
                        engine -> new Placement.Decision.Send(engine, queuedMillis(engine), work, "overflow"))
                .orElseGet(Placement.Decision.NoUpstream::new);
    }

    /** Returns the share of prompts that no prefill engine could take lately. */
    public synchronized double refusedShare() {
        return refusedShare;
    }

    private static List<Candidate> usable(List<Candidate> candidates, EngineStage stage) {
        List<Candidate> ofStage = candidates.stream()
                .filter(candidate -> candidate.entry().stage() == stage
                        || (stage == EngineStage.DECODE && candidate.entry().stage() == EngineStage.NONE))
                .toList();
        List<Candidate> trusted = ofStage.stream().filter(Candidate::trusted).toList();
        List<Candidate> willing =
                trusted.stream().filter(candidate -> !candidate.refusing()).toList();
        return !willing.isEmpty() ? willing : trusted.isEmpty() ? ofStage : trusted;
    }

    private Placement.Decision.Send cheapest(Placement.Demand demand, List<Candidate> engines) {
        String session = demand.prompt().map(EnginePlacement::sessionOf).orElse("");
        List<Candidate> ranked = engines.stream()
                .sorted(Comparator.comparingLong((Candidate engine) ->
                                Rendezvous.weight(session, engine.entry().id()))
                        .reversed())
                .limit(1L + SPILL_ENGINES)
                .toList();
        Placement.Decision.Send best = null;
        for (int rank = 0; rank < ranked.size(); rank++) {
            Candidate engine = ranked.get(rank);
            Placement.Decision.Send choice = new Placement.Decision.Send(
                    engine,
                    waitMillis(engine),
                    reading(demand.prompt(), rank, PREFILL_TOKENS_PER_MILLI),
                    rank == 0 ? "home" : "spilled");
            if (best == null || choice.waitMillis() + choice.work() < best.waitMillis() + best.work()) {
                best = choice;
            }
        }
        return best;
    }

    /**
     * Returns the decoding engines that begin with a request within the latency target: a longer wait makes its answer late,
     * whatever else happens.
     */
    private static List<Candidate> withSlotInTime(List<Candidate> engines, Placement.Demand demand) {
        return engines.stream()
                .filter(engine -> slotWait(engine) <= demand.latencyTarget().toMillis())
                .toList();
    }

    /**
     * Returns how long a request waits for a slot of a decoding engine, in milliseconds: as long as the oldest one of this
     * process waits, or until all that are there and beyond its slots have had their turn.
     */
    private static double slotWait(Candidate engine) {
        double slots = engine.entry().slots();
        double ahead = Math.max(0, occupancy(engine) * slots - slots + 1);
        return Math.max(engine.observedWait(), ahead / slots * engine.heldMillis());
    }

    private Placement.Decision.Refuse withoutSlots(Placement.Demand demand, List<Candidate> engines) {
        double wait =
                engines.stream().mapToDouble(EnginePlacement::slotWait).min().orElseThrow();
        return full(wait, (double) demand.latencyTarget().toMillis());
    }

    /** Refuses a request until the wait should be within its limit; callers return at different times. */
    private Placement.Decision.Refuse full(double waitMillis, double limitMillis) {
        long delay = (long) (waitMillis - limitMillis) + random.nextInt(RETRY_SPREAD_MILLIS);
        return new Placement.Decision.Refuse(waitMillis, Duration.ofMillis(delay));
    }

    /** Returns the engine with the shortest queue, wherever the session is cached: reading it again is better than a refusal. */
    private static Placement.Decision.Send leastQueued(Placement.Demand demand, List<Candidate> engines) {
        Candidate least = engines.stream()
                .min(Comparator.comparingDouble(EnginePlacement::waitMillis))
                .orElseThrow();
        double work = reading(demand.prompt(), 1 + SPILL_ENGINES, PREFILL_TOKENS_PER_MILLI);
        return new Placement.Decision.Send(least, waitMillis(least), work, "any");
    }

    private static double longestWait(Placement.Demand demand) {
        return WAIT_PART * demand.latencyTarget().toMillis();
    }

    /** Returns how long the prompts that are at an engine keep it busy, as far as this process can know. */
    private static double waitMillis(Candidate engine) {
        return Math.max(engine.observedWait(), queuedMillis(engine));
    }

    private static double queuedMillis(Candidate engine) {
        return engine.outstandingWork() + engine.peerWork();
    }

    /** Returns the part of an engine's slots that is taken. */
    private static double occupancy(Candidate engine) {
        return (engine.outstanding() + Math.max(engine.peerRequests(), others(engine)))
                / engine.entry().slots();
    }

    /** Returns how many requests of other VMs are at an engine; what was reported counts less the older it is. */
    private static double others(Candidate engine) {
        if (engine.loadAgeNanos() >= LOAD_VALIDITY.toNanos() || engine.load().isEmpty()) {
            return 0;
        }
        ReportedLoad load = engine.load().get();
        double fresh = 1 - engine.loadAgeNanos() / (double) LOAD_VALIDITY.toNanos();
        return Math.max(0, load.running() + load.waiting() - engine.outstandingAtLoad()) * fresh;
    }

    /** Returns the last part of a prompt that other requests share. */
    static String sessionOf(PromptMetadata prompt) {
        List<PromptPart> parts = prompt.parts();
        return parts.isEmpty() ? "" : parts.get(Math.max(0, parts.size() - 2)).id();
    }

    private static double reading(Optional<PromptMetadata> prompt, int rank, double rate) {
        if (prompt.isEmpty()) {
            return UNKNOWN_READING_MILLIS;
        }
        List<PromptPart> parts = prompt.get().parts();
        int own =
                parts.isEmpty() ? prompt.get().promptTokens() : parts.getLast().tokens();
        int session = parts.size() < 2 ? 0 : parts.get(parts.size() - 2).tokens();
        double unread = own + session * (rank == 0 ? HOME_MISS_PART : 1);
        double pairs = unread * prompt.get().promptTokens();
        return unread / rate + pairs * MILLIS_PER_PAIR;
    }
}
