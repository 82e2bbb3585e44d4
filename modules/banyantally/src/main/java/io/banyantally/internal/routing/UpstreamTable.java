package io.banyantally.internal.routing;

import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The upstreams of one service that may get new work, rebuilt when the catalogue returns a different list. */
final class UpstreamTable {
    private final Map<UpstreamId, UpstreamState> states;
    private final RouterSettings settings;
    private final Predicate<ServiceName> isModel;
    private volatile Snapshot snapshot = new Snapshot(List.of(), new UpstreamState[0]);

    UpstreamTable(Map<UpstreamId, UpstreamState> states, RouterSettings settings, Predicate<ServiceName> isModel) {
        this.isModel = isModel;
        this.states = states;
        this.settings = settings;
    }

    private record Snapshot(List<KnownUpstream> source, UpstreamState[] active) {}

    /**
     * Returns the upstreams that are not leaving. The catalogue returns the same list instance while nothing changes.
     */
    @SuppressWarnings("ReferenceEquality") // Comparing 500 upstreams for each request would cost more than the choice.
    UpstreamState[] activeUpstreams(List<KnownUpstream> source) {
        Snapshot last = snapshot;
        return last.source() == source ? last.active() : rebuild(source);
    }

    private synchronized UpstreamState[] rebuild(List<KnownUpstream> source) {
        Set<UpstreamId> listed = new HashSet<>();
        List<UpstreamState> active = new ArrayList<>();
        for (KnownUpstream known : source) {
            listed.add(known.id());
            UpstreamState state = states.computeIfAbsent(
                    known.id(), id -> new UpstreamState(known, settings, isModel.test(known.service())));
            state.setKnown(known);
            if (!known.leaving()) {
                state.setSlot(active.size());
                active.add(state);
            }
        }
        snapshot.source().stream()
                .map(KnownUpstream::id)
                .filter(id -> !listed.contains(id))
                .forEach(states::remove);
        snapshot = new Snapshot(source, active.toArray(UpstreamState[]::new));
        return snapshot.active();
    }

    static Map<UpstreamId, UpstreamState> newStates() {
        return new ConcurrentHashMap<>();
    }
}
