package io.banyantally.internal.fleet;

import io.banyantally.internal.routing.KnownUpstream;
import io.banyantally.internal.routing.UpstreamCatalogue;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UpstreamOrdering;
import io.banyantally.upstream.EngineRole;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.UpstreamException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** The upstreams that the ordering interface lists, with the notices of the directory and the states of the engines. */
public final class PlatformFleetMembers implements FleetMembers {

    private final UpstreamOrdering ordering;
    private final UpstreamCatalogue directory;
    private final UpstreamConnector connector;
    private final Supplier<Set<AvailabilityZone>> zones;
    private final Predicate<ServiceName> isModel;

    /**
     * Creates the view.
     *
     * @param directory the catalogue without holds, for a held upstream is not leaving
     */
    public PlatformFleetMembers(
            UpstreamOrdering ordering,
            UpstreamCatalogue directory,
            UpstreamConnector connector,
            Supplier<Set<AvailabilityZone>> zones,
            Predicate<ServiceName> isModel) {
        this.ordering = ordering;
        this.directory = directory;
        this.connector = connector;
        this.zones = zones;
        this.isModel = isModel;
    }

    @Override
    public Optional<List<FleetMember>> members(ServiceName service) throws InterruptedException {
        Map<UpstreamId, KnownUpstream> known = new HashMap<>();
        directory.upstreams(service).forEach(upstream -> known.put(upstream.id(), upstream));
        List<OrderedUpstream> listed = new ArrayList<>();
        try {
            for (AvailabilityZone zone : zones.get()) {
                listed.addAll(ordering.list(service, zone));
            }
        } catch (PlatformException unavailable) {
            return Optional.empty();
        }
        boolean model = isModel.test(service);
        try (ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<FleetMember>> members = listed.stream()
                    .map(upstream ->
                            tasks.submit(() -> member(upstream, Optional.ofNullable(known.get(upstream.id())), model)))
                    .toList();
            List<FleetMember> read = new ArrayList<>();
            for (Future<FleetMember> member : members) {
                read.add(member.get());
            }
            return Optional.of(read);
        } catch (ExecutionException failed) {
            throw new IllegalStateException("reading the engines of " + service + " failed", failed);
        }
    }

    private FleetMember member(OrderedUpstream listed, Optional<KnownUpstream> known, boolean model) {
        Optional<EngineState> state =
                known.filter(upstream -> model && listed.running()).flatMap(this::state);
        FleetUpstream upstream = new FleetUpstream(
                listed.id(),
                listed.zone(),
                state.map(read -> read.target().role()).orElse(EngineRole.MIXED),
                listed.cheap(),
                listed.running() && known.isPresent(),
                known.map(KnownUpstream::leaving).orElse(false),
                state.map(EngineState::changing).orElse(false),
                listed.pricePerHour());
        return new FleetMember(upstream, state.map(EngineState::target));
    }

    private Optional<EngineState> state(KnownUpstream upstream) {
        try {
            return Optional.of(connector.engine(upstream).state());
        } catch (UpstreamException unreadable) {
            return Optional.empty();
        }
    }
}
