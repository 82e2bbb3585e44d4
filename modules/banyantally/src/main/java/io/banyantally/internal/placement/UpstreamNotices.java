package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SequencedSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/**
 * What upstreams have said of themselves in their responses: that they leave, or that they want no request for some
 * time. A notice belongs to one lifetime of an upstream and does not depend on its entry in the store.
 */
public final class UpstreamNotices {

    /** The longest wait that an upstream can ask for. */
    static final Duration MAXIMUM_WAIT = Duration.ofMinutes(1);

    /** VMs return to an upstream at random times in this part of its wait, so that they do not return together. */
    static final double RETURN_SPREAD = 0.25;

    /** The shortest time in which VMs return. */
    static final Duration MINIMUM_RETURN_SPREAD = Duration.ofMillis(100);

    /** Lifetimes with a notice; far more than the upstreams that leave while requests may still be sent to them. */
    private static final int MAXIMUM_LIFETIMES = 10_000;

    private static final EventLog LOG = EventLog.of(UpstreamNotices.class);

    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final MetricRegistry metrics;
    private final Map<UpstreamLifetime, Notice> notices = new ConcurrentHashMap<>();
    private final SequencedSet<UpstreamLifetime> oldestFirst = new LinkedHashSet<>();

    /** Creates an empty set of notices; {@code random} spreads the returns after a wait. */
    public UpstreamNotices(MonotonicClock clock, RandomGenerator random, MetricRegistry metrics) {
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
    }

    /**
     * Records what an upstream states in its response.
     *
     * @param attempt the attempt that got the response, for the log
     */
    public synchronized void record(ReplicaEntry upstream, ResponseMetadata response, String attempt) {
        if (response.instanceMismatch()
                || (!response.leaving() && response.retryAfter().isEmpty())) {
            return;
        }
        UpstreamLifetime lifetime = UpstreamLifetime.of(upstream);
        Notice former = notices.getOrDefault(lifetime, Notice.NONE);
        boolean leaving = former.leaving() || response.leaving();
        if (leaving && !former.leaving()) {
            metrics.counter("upstreams.leaving").inc();
            LOG.info("upstream_leaving", EventField.of("upstream", upstream.id()), EventField.of("request", attempt));
        }
        OptionalLong waitUntil = response.retryAfter()
                .map(wait -> laterEnd(former.waitUntil(), upstream, wait, attempt))
                .orElse(former.waitUntil());
        notices.put(lifetime, new Notice(leaving, waitUntil));
        oldestFirst.remove(lifetime);
        oldestFirst.add(lifetime);
        if (oldestFirst.size() > MAXIMUM_LIFETIMES) {
            notices.remove(oldestFirst.removeFirst());
        }
    }

    private OptionalLong laterEnd(OptionalLong former, ReplicaEntry upstream, Duration asked, String attempt) {
        Duration wait = asked.compareTo(MAXIMUM_WAIT) < 0 ? asked : MAXIMUM_WAIT;
        long spread = Math.max((long) (wait.toNanos() * RETURN_SPREAD), MINIMUM_RETURN_SPREAD.toNanos());
        long now = clock.nanoTime();
        long end = now + wait.toNanos() + random.nextLong(spread);
        if (former.isPresent() && former.getAsLong() - end >= 0) {
            return former;
        }
        if (former.isEmpty() || former.getAsLong() - now <= 0) {
            metrics.counter("upstreams.waiting").inc();
            LOG.info(
                    "upstream_waits",
                    EventField.of("upstream", upstream.id()),
                    EventField.of("request", attempt),
                    EventField.of("asked_ms", asked.toMillis()),
                    EventField.of("wait_ms", Duration.ofNanos(end - now).toMillis()));
        }
        return OptionalLong.of(end);
    }

    /** Returns the upstreams that neither leave nor wait. */
    public List<ReplicaEntry> accepting(List<ReplicaEntry> upstreams) {
        if (notices.isEmpty()) {
            return upstreams;
        }
        long now = clock.nanoTime();
        return upstreams.stream().filter(upstream -> accepts(upstream, now)).toList();
    }

    private boolean accepts(ReplicaEntry upstream, long now) {
        return excludedUntil(upstream, now).isEmpty();
    }

    /** Returns the time until which an upstream wants no request; empty if it neither leaves nor waits at {@code now}. */
    OptionalLong excludedUntil(ReplicaEntry upstream, long now) {
        if (notices.isEmpty()) {
            return OptionalLong.empty();
        }
        Notice notice = notices.getOrDefault(UpstreamLifetime.of(upstream), Notice.NONE);
        if (notice.leaving()) {
            return OptionalLong.of(now + LoadBound.NEVER_NANOS);
        }
        return notice.isWaiting(now) ? notice.waitUntil() : OptionalLong.empty();
    }

    /** Returns the time until the first of these upstreams ends its wait; empty if none waits that does not leave. */
    public Optional<Duration> untilFirstReturn(List<ReplicaEntry> upstreams) {
        long now = clock.nanoTime();
        return upstreams.stream()
                .map(upstream -> notices.getOrDefault(UpstreamLifetime.of(upstream), Notice.NONE))
                .filter(notice -> !notice.leaving() && notice.isWaiting(now))
                .map(notice -> Duration.ofNanos(notice.waitUntil().getAsLong() - now))
                .min(Duration::compareTo);
    }

    /**
     * What an upstream has said.
     *
     * @param waitUntil the monotonic time in nanoseconds until which it wants no request
     */
    private record Notice(boolean leaving, OptionalLong waitUntil) {

        static final Notice NONE = new Notice(false, OptionalLong.empty());

        boolean isWaiting(long now) {
            return waitUntil.isPresent() && waitUntil.getAsLong() - now > 0;
        }
    }
}
