package io.banyantally.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.model.AvailabilityZone;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/** Asks which addresses to use, keeps the answer for its time to live, and gives them out in turn. */
final class AddressBook {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(1);
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;
    private static final long DEFAULT_MILLIS_TO_LIVE = 5_000;

    private final AdapterHttpClient client;
    private final List<InetSocketAddress> known;
    private final String target;
    private final AtomicInteger turn = new AtomicInteger();
    private List<InetSocketAddress> current = List.of();
    private long validUntil;

    /**
     * Creates a book.
     *
     * @param known addresses to ask first
     * @param zone the availability zone of the callers, whose addresses come first
     */
    AddressBook(AdapterHttpClient client, List<InetSocketAddress> known, Optional<AvailabilityZone> zone) {
        this.target = "/v1/addresses" + zone.map(name -> "?zone=" + name).orElse("");
        this.client = client;
        this.known = List.copyOf(known);
    }

    /** Returns the address for the next request. When nobody answers, the last addresses stay in use. */
    InetSocketAddress next() throws InterruptedException {
        List<InetSocketAddress> addresses = addresses();
        return addresses.get(Math.floorMod(turn.getAndIncrement(), addresses.size()));
    }

    private synchronized List<InetSocketAddress> addresses() throws InterruptedException {
        if (current.isEmpty() || System.nanoTime() - validUntil >= 0) {
            refresh();
        }
        return current.isEmpty() ? known : current;
    }

    private void refresh() throws InterruptedException {
        List<InetSocketAddress> asked = new ArrayList<>(current);
        asked.addAll(known);
        for (InetSocketAddress address : asked) {
            try {
                HttpReply reply = client.send(HttpCall.read(address, target, TIME_LIMIT), MAXIMUM_ANSWER_BYTES);
                if (reply.isOk()) {
                    take(WireFormat.decode(reply.body(), JsonNode.class));
                    return;
                }
            } catch (ExchangeException | IOException failure) {
                System.err.println("event=no-addresses from=" + address + " reason=\"" + failure.getMessage() + "\"");
            }
        }
    }

    private void take(JsonNode answer) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode entry : answer.path("addresses")) {
            addresses.add(parse(
                    entry.isTextual() ? entry.asText() : entry.path("address").asText()));
        }
        if (addresses.isEmpty()) {
            throw new IOException("the answer lists no address");
        }
        current = addresses;
        long millis = answer.path("timeToLiveMillis").asLong(DEFAULT_MILLIS_TO_LIVE);
        validUntil = System.nanoTime() + Duration.ofMillis(millis).toNanos();
    }

    /** Parses {@code host:port}. */
    static InetSocketAddress parse(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (NumberFormatException failure) {
            throw new IOException("address '" + text + "' is not valid; use host:port", failure);
        }
        throw new IOException("address '" + text + "' is not valid; use host:port");
    }
}
