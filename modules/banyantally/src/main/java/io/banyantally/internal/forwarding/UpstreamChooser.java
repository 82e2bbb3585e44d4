package io.banyantally.internal.forwarding;

import io.banyantally.deployment.EngineRule;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PrefilledCache;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.EnginePlacement;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.PlainPlacement;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;

/** Chooses the upstreams of one request. Each choice takes a send from the limit that the upstream has named. */
final class UpstreamChooser {

    /** Retry-After for a service without upstreams. */
    private static final Duration RETRY_AFTER_NO_UPSTREAM = Duration.ofMillis(400);

    /** A crashed upstream starts again with its version within seconds; one that was replaced does not return. */
    private static final Duration RETRY_AFTER_NO_VERSION = Duration.ofSeconds(2);

    private static final int MINIMUM_SPREAD_MILLIS = 100;

    private final ForwardingServices services;
    private final AdmittedRequest request;
    private final RequestLog log;
    private Optional<SoftwareVersion> requiredVersion = Optional.empty();

    UpstreamChooser(ForwardingServices services, AdmittedRequest request, RequestLog log) {
        this.services = services;
        this.request = request;
        this.log = log;
    }

    /** Chooses only upstreams of a software version from now on; any if it is empty. */
    void requireVersion(Optional<SoftwareVersion> version) {
        requiredVersion = version;
    }

    /** Returns whether the prompt is long enough for a call to a prefill engine before the request is sent. */
    boolean needsPrefill() {
        return request.service().engine().isPresent() && EnginePlacement.isLongPrompt(demand(latencyTarget()));
    }

    /** Returns the engine that computes the KV cache of a long prompt; empty if there are no prefill engines. */
    Optional<PrefillChoice> choosePrefill() throws RefusedException {
        Placement.Demand demand = demand(latencyTarget());
        List<ReplicaEntry> known = services.notices().accepting(untried(Set.of()));
        List<ReplicaEntry> open = services.limits().accepting(known);
        if (isLimited(known, open, UpstreamChooser::generates)) {
            throw limitReached(known, UpstreamChooser::generates);
        }
        Placement.Decision decision =
                take(open, candidates -> services.engines().decidePrefill(demand, candidates));
        if (decision instanceof Placement.Decision.Send engine) {
            return Optional.of(new PrefillChoice(engine, false));
        }
        boolean limited = decision instanceof Placement.Decision.NoUpstream
                && known.stream().anyMatch(UpstreamChooser::prefills);
        if (decision instanceof Placement.Decision.NoUpstream && !limited) {
            return Optional.empty();
        }
        if (take(open, candidates -> services.engines().decideOverflow(demand, candidates))
                instanceof Placement.Decision.Send decoder) {
            return Optional.of(new PrefillChoice(decoder, true));
        }
        throw decision instanceof Placement.Decision.Refuse full
                ? allUpstreamsFull(full)
                : limitReached(known, UpstreamChooser::prefills);
    }

    /**
     * Returns the upstream that runs the request.
     *
     * @param tried the upstreams to which it has been sent
     * @param mayHaveRun whether one of them may have run it
     */
    Placement.Decision.Send choose(Set<UpstreamId> tried, Optional<PrefilledCache> prefilledCache, boolean mayHaveRun)
            throws RefusedException {
        // After a failed send or the start of the stream, a late response is better than none.
        Placement.Demand demand = demand(tried.isEmpty() ? latencyTarget() : request.remaining(services.clock()));
        Placement.Decision decision = request.service().engine().isPresent()
                ? takeEngine(demand, tried, prefilledCache)
                : takePlain(demand, tried);
        if (decision instanceof Placement.Decision.Send send) {
            return send;
        }
        if (mayHaveRun) {
            throw new RefusedException(Refusal.mayHaveRun("no_other_upstream"));
        }
        if (decision instanceof Placement.Decision.Refuse full) {
            throw allUpstreamsFull(full);
        }
        List<ReplicaEntry> untried = untried(tried);
        List<ReplicaEntry> known = services.notices().accepting(untried);
        // Others than limited ones would have been chosen.
        if (known.stream().anyMatch(UpstreamChooser::generates)) {
            throw limitReached(known, UpstreamChooser::generates);
        }
        if (requiredVersion.isPresent() && untried.stream().noneMatch(UpstreamChooser::generates)) {
            throw new RefusedException(
                    Refusal.notRun("no_upstream_of_version", ForwardedRequest.jittered(RETRY_AFTER_NO_VERSION)));
        }
        Optional<Duration> firstReturn = services.notices().untilFirstReturn(untried);
        throw new RefusedException(
                firstReturn.isPresent()
                        ? Refusal.notRun("upstreams_waiting", spread(firstReturn.get()))
                        : Refusal.notRun("no_upstream", ForwardedRequest.jittered(RETRY_AFTER_NO_UPSTREAM)));
    }

    private Placement.Decision takeEngine(
            Placement.Demand demand, Set<UpstreamId> tried, Optional<PrefilledCache> prefilledCache) {
        Optional<AvailabilityZone> cacheZone =
                prefilledCache.map(PrefilledCache::engine).map(ReplicaEntry::zone);
        long cacheTokenBytes =
                request.service().engine().map(EngineRule::cacheTokenBytes).orElse(0L);
        return take(
                services.limits().accepting(services.notices().accepting(untried(tried))),
                candidates -> services.engines().decideDecode(demand, candidates, cacheZone, cacheTokenBytes));
    }

    private Placement.Decision takePlain(Placement.Demand demand, Set<UpstreamId> tried) {
        return new PlainPlacement(
                        services.notices(), services.limits(), services.tracks(), services.plain(), services.clock())
                .take(
                        demand,
                        services.replicas().replicas(request.service().name()),
                        entry -> !tried.contains(entry.id())
                                && hasRequiredVersion(entry)
                                && services.replicas().isAccepting(entry));
    }

    /** Decides until the limit of the chosen upstream leaves a send; other requests may have taken it meanwhile. */
    private Placement.Decision take(
            List<ReplicaEntry> upstreams, Function<List<Candidate>, Placement.Decision> decision) {
        List<ReplicaEntry> left = upstreams;
        while (true) {
            Placement.Decision made = decision.apply(services.tracks().candidates(left));
            if (!(made instanceof Placement.Decision.Send send)
                    || services.limits().tryTake(send.candidate().entry())) {
                return made;
            }
            UpstreamId exhausted = send.candidate().entry().id();
            left = left.stream().filter(entry -> !entry.id().equals(exhausted)).toList();
        }
    }

    private static boolean isLimited(
            List<ReplicaEntry> known, List<ReplicaEntry> open, Predicate<ReplicaEntry> included) {
        return known.stream().anyMatch(included) && open.stream().noneMatch(included);
    }

    private static boolean generates(ReplicaEntry entry) {
        return entry.stage() != EngineStage.PREFILL;
    }

    private static boolean prefills(ReplicaEntry entry) {
        return entry.stage() == EngineStage.PREFILL;
    }

    private RefusedException limitReached(List<ReplicaEntry> known, Predicate<ReplicaEntry> included) {
        Duration untilRoom = services.limits()
                .untilFirstRoom(known.stream().filter(included).toList())
                .orElse(Duration.ZERO);
        return new RefusedException(Refusal.notRun("upstreams_limited", spread(untilRoom)));
    }

    private RefusedException allUpstreamsFull(Placement.Decision.Refuse full) {
        log.add("wait_ms", (long) full.waitMillis());
        return new RefusedException(Refusal.notRun("full", full.retryAfter()));
    }

    private List<ReplicaEntry> untried(Set<UpstreamId> tried) {
        return services.replicas().accepting(request.service().name()).stream()
                .filter(entry -> !tried.contains(entry.id()) && hasRequiredVersion(entry))
                .toList();
    }

    private boolean hasRequiredVersion(ReplicaEntry entry) {
        return requiredVersion.isEmpty() || entry.version().equals(requiredVersion.get());
    }

    private Duration latencyTarget() {
        return request.route().latencyTarget();
    }

    private Placement.Demand demand(Duration latencyTarget) {
        return new Placement.Demand(request.metadata().prompt(), latencyTarget);
    }

    /** Adds up to a quarter, so that callers come after an upstream's wait and not all at its end. */
    private static Duration spread(Duration minimum) {
        return minimum.plusMillis(ThreadLocalRandom.current().nextLong(minimum.toMillis() / 4 + MINIMUM_SPREAD_MILLIS));
    }

    /**
     * The engine that computes a prompt.
     *
     * @param generates whether it also generates the answer, so that no prefill precedes
     */
    record PrefillChoice(Placement.Decision.Send engine, boolean generates) {}
}
