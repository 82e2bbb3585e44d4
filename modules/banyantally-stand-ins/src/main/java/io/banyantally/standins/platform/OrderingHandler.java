package io.banyantally.standins.platform;

import io.banyantally.internal.adapter.GiveBackRequest;
import io.banyantally.internal.adapter.OrderingRequest;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Orders for upstreams. It starts no process; it only keeps the list. */
final class OrderingHandler {

    private static final int CONFLICT = 409;
    private static final int NONE_AVAILABLE = 503;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OrderingOptions options;
    private final ViolationLog violations;
    private final Map<UpstreamId, Placed> placed = new LinkedHashMap<>();
    private final Map<Place, Long> highestFencingNumbers = new HashMap<>();
    private final Set<String> zonesWithoutCheap = new HashSet<>();
    private final List<LoggedOrder> log = new ArrayList<>();
    private final List<String> givenBack = new ArrayList<>();
    private long lastUpstream;

    OrderingHandler(OrderingOptions options, ViolationLog violations) {
        this.options = options;
        this.violations = violations;
    }

    Answer handle(StandInExchange exchange) throws IOException {
        if (exchange.method().equals("GET")) {
            Place place = new Place(
                    new ServiceName(exchange.requiredParameter("service")),
                    new AvailabilityZone(exchange.requiredParameter("zone")));
            return Answer.of(list(place));
        }
        return exchange.path().equals(GiveBackRequest.PATH)
                ? giveBack(exchange.body(GiveBackRequest.class))
                : order(exchange.body(OrderingRequest.class));
    }

    /** Sets whether cheap upstreams can be had in a zone. */
    synchronized void setCheapAvailable(String zone, boolean available) {
        if (available) {
            zonesWithoutCheap.remove(zone);
        } else {
            zonesWithoutCheap.add(zone);
        }
    }

    private synchronized List<OrderedUpstream> list(Place place) {
        return placed.values().stream()
                .filter(upstream -> upstream.place().equals(place))
                .map(this::described)
                .toList();
    }

    /** Lists an upstream that was not ordered here. */
    synchronized void adopt(DirectoryEntry entry) {
        UpstreamId id = new UpstreamId(entry.id());
        Place place = new Place(entry.service().orElseThrow(), entry.zone());
        long orderedBefore = System.nanoTime() - options.startDelayMillis * NANOS_PER_MILLI;
        placed.putIfAbsent(id, new Placed(id, place, entry.cheap(), new OrderToken("adopted-" + id), orderedBefore));
    }

    /** Returns the ids of the upstreams that were given back since the last call. */
    synchronized List<String> takeGivenBack() {
        List<String> taken = List.copyOf(givenBack);
        givenBack.clear();
        return taken;
    }

    synchronized List<OrderedUpstream> all() {
        return placed.values().stream().map(this::described).toList();
    }

    synchronized List<LoggedOrder> log() {
        return List.copyOf(log);
    }

    private OrderedUpstream described(Placed upstream) {
        boolean running = System.nanoTime() - upstream.orderedAt() >= options.startDelayMillis * NANOS_PER_MILLI;
        return new OrderedUpstream(
                upstream.id(),
                upstream.place().service(),
                upstream.place().zone(),
                upstream.cheap(),
                running,
                options.ignoreTokens ? Optional.empty() : Optional.of(upstream.token()),
                upstream.cheap() ? options.cheapPrice : options.price);
    }

    private synchronized Answer order(OrderingRequest request) {
        Place place = new Place(request.service(), request.zone());
        if (!admits(place, request.fencingNumber().value(), "order " + request.token())) {
            log(place, request, "", false, false);
            return Answer.refused(CONFLICT, "fencing number " + request.fencingNumber() + " is old");
        }
        Optional<Placed> known = options.ignoreTokens ? Optional.empty() : withToken(request.token());
        if (known.isPresent()) {
            log(place, request, known.get().id().value(), true, true);
            return Answer.of(known.get().id());
        }
        if (request.cheap() && zonesWithoutCheap.contains(request.zone().value())) {
            log(place, request, "", false, false);
            return Answer.refused(NONE_AVAILABLE, "no cheap upstream is available in zone " + request.zone());
        }
        UpstreamId id = new UpstreamId(request.service() + "-" + request.zone() + "-" + ++lastUpstream);
        placed.put(id, new Placed(id, place, request.cheap(), request.token(), System.nanoTime()));
        log(place, request, id.value(), true, false);
        return Answer.of(id);
    }

    private synchronized Answer giveBack(GiveBackRequest request) {
        Placed upstream = placed.get(request.upstream());
        if (upstream == null) {
            return Answer.of(request.upstream());
        }
        boolean admitted =
                admits(upstream.place(), request.fencingNumber().value(), "giving back of " + request.upstream());
        log.add(new LoggedOrder(
                log.size() + 1,
                "give-back",
                upstream.place().service().value(),
                upstream.place().zone().value(),
                upstream.cheap(),
                upstream.token().value(),
                request.fencingNumber().value(),
                request.upstream().value(),
                admitted,
                false));
        if (!admitted) {
            return Answer.refused(CONFLICT, "fencing number " + request.fencingNumber() + " is old");
        }
        placed.remove(request.upstream());
        givenBack.add(request.upstream().value());
        return Answer.of(request.upstream());
    }

    private boolean admits(Place place, long fencingNumber, String what) {
        long highest = highestFencingNumbers.merge(place, fencingNumber, Math::max);
        if (fencingNumber >= highest) {
            return true;
        }
        if (options.ignoreFencing) {
            violations.add(
                    Violation.Kind.ORDER_WITH_OLD_FENCING_NUMBER,
                    what + " has fencing number " + fencingNumber + " after " + highest);
        }
        return options.ignoreFencing;
    }

    private Optional<Placed> withToken(OrderToken token) {
        return placed.values().stream()
                .filter(upstream -> upstream.token().equals(token))
                .findFirst();
    }

    private void log(Place place, OrderingRequest request, String upstream, boolean accepted, boolean repeated) {
        log.add(new LoggedOrder(
                log.size() + 1,
                "order",
                place.service().value(),
                place.zone().value(),
                request.cheap(),
                request.token().value(),
                request.fencingNumber().value(),
                upstream,
                accepted,
                repeated));
    }

    private record Place(ServiceName service, AvailabilityZone zone) {}

    private record Placed(UpstreamId id, Place place, boolean cheap, OrderToken token, long orderedAt) {}
}
