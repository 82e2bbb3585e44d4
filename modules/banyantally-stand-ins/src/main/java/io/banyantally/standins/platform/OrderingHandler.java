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

/** Serves upstream ordering. It only lists upstreams and starts no process for them. */
final class OrderingHandler {

    private static final int CONFLICT = 409;
    private static final int NONE_AVAILABLE = 503;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final OrderingOptions options;
    private final ViolationLog violations;
    private final Map<UpstreamId, UpstreamEntry> upstreams = new LinkedHashMap<>();
    private final Map<ServiceZone, Long> highestFencingNumbers = new HashMap<>();
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
            ServiceZone serviceZone = new ServiceZone(
                    new ServiceName(exchange.requiredParameter("service")),
                    new AvailabilityZone(exchange.requiredParameter("zone")));
            return Answer.of(list(serviceZone));
        }
        return exchange.path().equals(GiveBackRequest.PATH)
                ? giveBack(exchange.body(GiveBackRequest.class))
                : order(exchange.body(OrderingRequest.class));
    }

    /** Sets whether cheap upstreams are available in a zone. */
    synchronized void setCheapAvailable(String zone, boolean available) {
        if (available) {
            zonesWithoutCheap.remove(zone);
        } else {
            zonesWithoutCheap.add(zone);
        }
    }

    private synchronized List<OrderedUpstream> list(ServiceZone serviceZone) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.serviceZone().equals(serviceZone))
                .map(this::toOrderedUpstream)
                .toList();
    }

    /** Lists an upstream that was not ordered through this interface. */
    synchronized void adopt(DirectoryEntry entry) {
        UpstreamId id = new UpstreamId(entry.id());
        ServiceZone serviceZone = new ServiceZone(entry.service().orElseThrow(), entry.zone());
        long orderedBefore = System.nanoTime() - options.startDelayMillis * NANOS_PER_MILLI;
        upstreams.putIfAbsent(
                id, new UpstreamEntry(id, serviceZone, entry.cheap(), new OrderToken("adopted-" + id), orderedBefore));
    }

    /** Returns and clears the ids of the upstreams that were given back since the last call. */
    synchronized List<String> drainGivenBack() {
        List<String> ids = List.copyOf(givenBack);
        givenBack.clear();
        return ids;
    }

    synchronized List<OrderedUpstream> all() {
        return upstreams.values().stream().map(this::toOrderedUpstream).toList();
    }

    synchronized List<LoggedOrder> log() {
        return List.copyOf(log);
    }

    private OrderedUpstream toOrderedUpstream(UpstreamEntry upstream) {
        boolean running = System.nanoTime() - upstream.orderedAt() >= options.startDelayMillis * NANOS_PER_MILLI;
        return new OrderedUpstream(
                upstream.id(),
                upstream.serviceZone().service(),
                upstream.serviceZone().zone(),
                upstream.cheap(),
                running,
                options.ignoreTokens ? Optional.empty() : Optional.of(upstream.token()),
                upstream.cheap() ? options.cheapPrice : options.price);
    }

    private synchronized Answer order(OrderingRequest request) {
        ServiceZone serviceZone = new ServiceZone(request.service(), request.zone());
        if (!acceptsFencingNumber(serviceZone, request.fencingNumber().value(), "order " + request.token())) {
            log(serviceZone, request, "", false, false);
            return Answer.refused(CONFLICT, "fencing number " + request.fencingNumber() + " is old");
        }
        Optional<UpstreamEntry> known = options.ignoreTokens ? Optional.empty() : findByToken(request.token());
        if (known.isPresent()) {
            log(serviceZone, request, known.get().id().value(), true, true);
            return Answer.of(known.get().id());
        }
        if (request.cheap() && zonesWithoutCheap.contains(request.zone().value())) {
            log(serviceZone, request, "", false, false);
            return Answer.refused(NONE_AVAILABLE, "no cheap upstream is available in zone " + request.zone());
        }
        UpstreamId id = new UpstreamId(request.service() + "-" + request.zone() + "-" + ++lastUpstream);
        upstreams.put(id, new UpstreamEntry(id, serviceZone, request.cheap(), request.token(), System.nanoTime()));
        log(serviceZone, request, id.value(), true, false);
        return Answer.of(id);
    }

    private synchronized Answer giveBack(GiveBackRequest request) {
        UpstreamEntry upstream = upstreams.get(request.upstream());
        if (upstream == null) {
            return Answer.of(request.upstream());
        }
        boolean admitted = acceptsFencingNumber(
                upstream.serviceZone(), request.fencingNumber().value(), "giving back of " + request.upstream());
        log.add(new LoggedOrder(
                log.size() + 1,
                "give-back",
                upstream.serviceZone().service().value(),
                upstream.serviceZone().zone().value(),
                upstream.cheap(),
                upstream.token().value(),
                request.fencingNumber().value(),
                request.upstream().value(),
                admitted,
                false));
        if (!admitted) {
            return Answer.refused(CONFLICT, "fencing number " + request.fencingNumber() + " is old");
        }
        upstreams.remove(request.upstream());
        givenBack.add(request.upstream().value());
        return Answer.of(request.upstream());
    }

    private boolean acceptsFencingNumber(ServiceZone serviceZone, long fencingNumber, String description) {
        long highest = highestFencingNumbers.merge(serviceZone, fencingNumber, Math::max);
        if (fencingNumber >= highest) {
            return true;
        }
        if (options.ignoreFencing) {
            violations.add(
                    Violation.Kind.ORDER_WITH_OLD_FENCING_NUMBER,
                    description + " has fencing number " + fencingNumber + " after " + highest);
        }
        return options.ignoreFencing;
    }

    private Optional<UpstreamEntry> findByToken(OrderToken token) {
        return upstreams.values().stream()
                .filter(upstream -> upstream.token().equals(token))
                .findFirst();
    }

    private void log(
            ServiceZone serviceZone, OrderingRequest request, String upstream, boolean accepted, boolean repeated) {
        log.add(new LoggedOrder(
                log.size() + 1,
                "order",
                serviceZone.service().value(),
                serviceZone.zone().value(),
                request.cheap(),
                request.token().value(),
                request.fencingNumber().value(),
                upstream,
                accepted,
                repeated));
    }

    private record ServiceZone(ServiceName service, AvailabilityZone zone) {}

    private record UpstreamEntry(
            UpstreamId id, ServiceZone serviceZone, boolean cheap, OrderToken token, long orderedAt) {}
}
