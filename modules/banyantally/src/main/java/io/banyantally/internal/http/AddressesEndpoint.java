package io.banyantally.internal.http;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.internal.membership.CallerAddress;
import io.banyantally.internal.membership.Membership;
import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.model.AvailabilityZone;
import java.io.IOException;
import java.util.Optional;

/**
 * Lists the addresses that callers may use, nearest availability zone first; {@code ?zone=} names the caller's zone.
 */
final class AddressesEndpoint implements Endpoint {

    private static final int OK = 200;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Membership membership;
    private final int timeToLiveMillis;

    AddressesEndpoint(Membership membership, int timeToLiveMillis) {
        this.membership = membership;
        this.timeToLiveMillis = timeToLiveMillis;
    }

    @Override
    public void handle(HttpExchange exchange) throws RequestFailedException, IOException {
        ObjectNode answer =
                JsonNodeFactory.instance.objectNode().put("timeToLiveSeconds", timeToLiveMillis / MILLIS_PER_SECOND);
        ArrayNode addresses = answer.putArray("addresses");
        for (CallerAddress address : membership.addresses(zone(exchange))) {
            addresses
                    .addObject()
                    .put("address", SocketAddresses.text(address.address()))
                    .put("zone", address.zone().value())
                    .put("vm", address.vm().value());
        }
        exchange.sendJson(OK, answer);
    }

    private static Optional<AvailabilityZone> zone(HttpExchange exchange) throws RequestFailedException {
        try {
            return exchange.queryParameter("zone").map(AvailabilityZone::plain);
        } catch (IllegalArgumentException invalid) {
            throw RequestFailedException.notRun(ErrorType.INVALID_REQUEST, invalid.getMessage());
        }
    }
}
