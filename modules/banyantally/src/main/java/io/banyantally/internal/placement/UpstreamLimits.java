package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * The limits that upstreams have named in their answers. A limit belongs to one lifetime of an upstream and does not
 * depend on its entry in the store.
 */
public final class UpstreamLimits {

    /** Lifetimes whose sends are counted; far more than a fleet has upstreams at a time. */
    private static final int MAXIMUM_LIFETIMES = 2_000;

    /** How long other VMs are told that a limit has ended. */
    private static final Duration END_TOLD_TIME = Duration.ofMinutes(1);

    private static final double NO_LIMIT = -1;
    private static final long NO_START = -1;

    private static final EventLog LOG = EventLog.of(UpstreamLimits.class);

    private final Supplier<LimitSharers> sharers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Map<UpstreamLifetime, UpstreamLimit> limits = new ConcurrentHashMap<>();
    private volatile boolean anyNamed;

    /**
     * Creates an empty set.
     *
     * @param sharers returns the VMs that share the limits now
     * @param random draws the VMs that may send to an upstream; several threads use it
     */
    public UpstreamLimits(
            Supplier<LimitSharers> sharers, MonotonicClock clock, RandomGenerator random, MetricRegistry metrics) {
        this.sharers = sharers;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
    }

    /**
     * Records what an upstream states in its response.
     *
     * @param attempt the attempt that got the response, for the log
     * @param sentAt when the request was sent
     */
    public void record(ReplicaEntry upstream, ResponseMetadata response, String attempt, long sentAt) {
        if (response.instanceMismatch()
                || (!anyNamed && response.limitPerSecond().isEmpty())) {
            return;
        }
        anyNamed = true;
        OptionalDouble limit = response.limitPerSecond();
        if (limit(UpstreamLifetime.of(upstream)).recordStatement(limit, sentAt, clock.nanoTime())) {
            recordChange(upstream.id(), limit, EventField.of("request", attempt));
        }
    }

    private void recordChange(UpstreamId upstream, OptionalDouble limit, EventField source) {
        metrics.counter(limit.isPresent() ? "upstreams.limited" : "upstreams.limit_ended")
                .inc();
        LOG.info(
                limit.isPresent() ? "upstream_limited" : "upstream_limit_ended",
                EventField.of("upstream", upstream),
                source,
                EventField.of("limit", limit.isPresent() ? limit.getAsDouble() : "none"));
    }

    /** Returns the upstreams to which this VM may send a request now. */
    public List<ReplicaEntry> accepting(List<ReplicaEntry> upstreams) {
        if (!anyNamed) {
            return upstreams;
        }
        LimitSharers now = sharers.get();
        long time = clock.nanoTime();
        return upstreams.stream()
                .filter(upstream -> limit(UpstreamLifetime.of(upstream)).hasRoom(now, time))
                .toList();
    }

    /** Returns whether this VM may send a request to an upstream at {@code time}. */
    boolean accepts(ReplicaEntry upstream, long time) {
        if (!anyNamed) {
            return true;
        }
        UpstreamLimit limit = limits.get(UpstreamLifetime.of(upstream));
        return limit == null || limit.limitPerSecond().isEmpty() || limit.hasRoom(sharers.get(), time);
    }

    /** Counts a send to an upstream and returns true, or returns false if its limit leaves none. */
    public boolean tryTake(ReplicaEntry upstream) {
        boolean taken = limit(UpstreamLifetime.of(upstream)).tryTake(sharers.get(), clock.nanoTime());
        if (!taken) {
            metrics.counter("upstreams.limit_reached").inc();
        }
        return taken;
    }

    /** Returns the time until the limit of the first of these upstreams should leave a send; empty if there is none. */
    public Optional<Duration> untilFirstRoom(List<ReplicaEntry> upstreams) {
        LimitSharers now = sharers.get();
        long time = clock.nanoTime();
        return upstreams.stream()
                .map(upstream -> limit(UpstreamLifetime.of(upstream)).untilRoom(now, time))
                .min(Duration::compareTo);
    }

    /** Returns the limits and their use by this VM and by the peers that {@code included} accepts. */
    public List<LimitUse> uses(Predicate<VmId> included) {
        if (!anyNamed) {
            return List.of();
        }
        long now = clock.nanoTime();
        List<LimitUse> uses = new ArrayList<>();
        limits.forEach((lifetime, limit) -> limit.statement()
                .filter(statement ->
                        statement.limit().isPresent() || now - statement.statedAt() < END_TOLD_TIME.toNanos())
                .ifPresent(statement -> uses.add(use(lifetime, limit, statement, included, now))));
        return uses;
    }

    private static LimitUse use(
            UpstreamLifetime lifetime,
            UpstreamLimit limit,
            UpstreamLimit.Statement statement,
            Predicate<VmId> included,
            long now) {
        LimitDivision.Sends sends = limit.sends(included, now);
        return new LimitUse(
                lifetime.upstream().value(),
                lifetime.startedAtMillis().orElse(NO_START),
                statement.limit().orElse(NO_LIMIT),
                Duration.ofNanos(now - statement.statedAt()).toMillis(),
                (int) sends.window(),
                (int) sends.second(),
                (int) sends.wanting());
    }

    /** Receives what a peer knows; {@code peer} names it and all VMs whose sends it has added. */
    public void receive(VmId peer, List<LimitUse> uses) {
        long now = clock.nanoTime();
        for (LimitUse use : uses) {
            anyNamed = true;
            UpstreamId upstream = new UpstreamId(use.upstream());
            UpstreamLimit limit = limit(new UpstreamLifetime(
                    upstream,
                    use.startedAtMillis() < 0 ? OptionalLong.empty() : OptionalLong.of(use.startedAtMillis())));
            OptionalDouble perSecond =
                    use.limitPerSecond() < 0 ? OptionalDouble.empty() : OptionalDouble.of(use.limitPerSecond());
            if (limit.recordPeerStatement(perSecond, Duration.ofMillis(use.ageMillis()), now)) {
                recordChange(upstream, perSecond, EventField.of("peer", peer));
            }
            limit.recordPeerSends(
                    peer, new LimitDivision.Sends(use.windowSends(), use.secondSends(), use.wantingVms(), 0), now);
        }
    }

    private UpstreamLimit limit(UpstreamLifetime lifetime) {
        UpstreamLimit limit = limits.computeIfAbsent(lifetime, key -> new UpstreamLimit(random, clock.nanoTime()));
        if (limits.size() > MAXIMUM_LIFETIMES) {
            limits.values()
                    .removeIf(other -> other != limit
                            && other.limitPerSecond().isEmpty()
                            && other.sends(vm -> true, clock.nanoTime()).window() == 0);
        }
        return limit;
    }
}
