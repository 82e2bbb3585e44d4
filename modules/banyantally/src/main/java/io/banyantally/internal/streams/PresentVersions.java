package io.banyantally.internal.streams;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** The software versions of all known upstreams, leaving ones included, and since when they are the same. */
final class PresentVersions {

    private final Supplier<? extends Collection<ReplicaEntry>> upstreams;
    private final MonotonicClock clock;
    private volatile Map<ServiceName, Observed> observed = Map.of();

    PresentVersions(Supplier<? extends Collection<ReplicaEntry>> upstreams, MonotonicClock clock) {
        this.upstreams = upstreams;
        this.clock = clock;
    }

    /** Observes changes; call it several times a second. */
    synchronized void observe() {
        Map<ServiceName, Set<SoftwareVersion>> present = upstreams.get().stream()
                .collect(Collectors.groupingBy(
                        ReplicaEntry::service, Collectors.mapping(ReplicaEntry::version, Collectors.toSet())));
        Map<ServiceName, Observed> next = new HashMap<>();
        present.forEach((service, versions) -> {
            Observed former = observed.get(service);
            boolean same = former != null && former.versions().equals(versions);
            next.put(service, same ? former : new Observed(Set.copyOf(versions), clock.nanoTime()));
        });
        observed = Map.copyOf(next);
    }

    /** Returns the versions of a service at present. */
    Set<SoftwareVersion> of(ServiceName service) {
        return upstreams.get().stream()
                .filter(upstream -> upstream.service().equals(service))
                .map(ReplicaEntry::version)
                .collect(Collectors.toSet());
    }

    /** Returns the only version that a service has had for some time; empty if it had several, or none. */
    Optional<SoftwareVersion> onlyOne(ServiceName service, Duration time) {
        Observed last = observed.get(service);
        return last != null
                        && last.versions().size() == 1
                        && clock.since(last.since()).compareTo(time) >= 0
                        && of(service).equals(last.versions())
                ? last.versions().stream().findFirst()
                : Optional.empty();
    }

    /** The versions of a service since a monotonic time in nanoseconds. */
    private record Observed(Set<SoftwareVersion> versions, long since) {}
}
