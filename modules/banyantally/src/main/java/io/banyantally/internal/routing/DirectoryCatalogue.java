package io.banyantally.internal.routing;

import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** A catalogue of the upstreams in the platform's VM directory. */
public final class DirectoryCatalogue implements UpstreamCatalogue {

    private final Timeline timeline;
    private volatile Map<ServiceName, List<KnownUpstream>> byService = Map.of();

    /** Creates an empty catalogue. */
    public DirectoryCatalogue(Timeline timeline) {
        this.timeline = timeline;
    }

    @Override
    public List<KnownUpstream> upstreams(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Replaces the catalogue with the upstreams among the directory entries, and records changes in the time line. */
    public synchronized void update(List<DirectoryEntry> entries) {
        Map<ServiceName, List<KnownUpstream>> updated = entries.stream()
                .filter(entry -> entry.kind() != VmKind.ENTRY && entry.service().isPresent())
                .map(DirectoryCatalogue::upstream)
                .collect(Collectors.groupingBy(KnownUpstream::service));
        recordChanges(byId(byService), byId(updated));
        byService = Map.copyOf(updated);
    }

    private static KnownUpstream upstream(DirectoryEntry entry) {
        return new KnownUpstream(
                UpstreamId.plain(entry.id()),
                entry.service().orElseThrow(),
                entry.zone(),
                entry.address(),
                entry.cheap(),
                entry.state() == VmState.LEAVING);
    }

    private static Map<UpstreamId, KnownUpstream> byId(Map<ServiceName, List<KnownUpstream>> catalogue) {
        return catalogue.values().stream()
                .flatMap(List::stream)
                .collect(Collectors.toMap(KnownUpstream::id, Function.identity(), (one, other) -> other, HashMap::new));
    }

    private void recordChanges(Map<UpstreamId, KnownUpstream> before, Map<UpstreamId, KnownUpstream> after) {
        after.forEach((id, upstream) -> {
            KnownUpstream earlier = before.get(id);
            if (earlier == null) {
                timeline.record(EventKind.UPSTREAM_JOINED, EventField.of("upstream", id));
            }
            if (upstream.leaving() && (earlier == null || !earlier.leaving())) {
                timeline.record(EventKind.UPSTREAM_LEAVING, EventField.of("upstream", id));
            }
        });
        before.forEach((id, upstream) -> {
            if (!after.containsKey(id) && !upstream.leaving()) {
                timeline.record(EventKind.UPSTREAM_LEAVING, EventField.of("upstream", id));
            }
        });
    }
}
