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

/** Fetches the entry addresses, caches them for their time to live, and returns them round-robin. */
final class EntryAddressPool {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(1);
    private static final int MAXIMUM_ANSWER_BYTES = 1 << 20;
    private static final long DEFAULT_TIME_TO_LIVE_MILLIS = 5_000;

    private final AdapterHttpClient client;
    private final List<InetSocketAddress> seedAddresses;
    private final String target;
    private final AtomicInteger nextIndex = new AtomicInteger();
    private List<InetSocketAddress> fetchedAddresses = List.of();
    private long validUntil;

    /**
     * Creates a pool without fetched addresses.
     *
     * @param seedAddresses addresses to query after the fetched ones
     * @param zone the availability zone of the callers, whose addresses come first
     */
    EntryAddressPool(AdapterHttpClient client, List<InetSocketAddress> seedAddresses, Optional<AvailabilityZone> zone) {
        this.target = "/v1/addresses" + zone.map(name -> "?zone=" + name).orElse("");
        this.client = client;
        this.seedAddresses = List.copyOf(seedAddresses);
    }

    /** Returns the address for the next request. If no address answers the query, the last ones stay in use. */
    InetSocketAddress next() throws InterruptedException {
        List<InetSocketAddress> addresses = addresses();
        return addresses.get(Math.floorMod(nextIndex.getAndIncrement(), addresses.size()));
    }

    private synchronized List<InetSocketAddress> addresses() throws InterruptedException {
        if (fetchedAddresses.isEmpty() || System.nanoTime() - validUntil >= 0) {
            refresh();
        }
        return fetchedAddresses.isEmpty() ? seedAddresses : fetchedAddresses;
    }

    private void refresh() throws InterruptedException {
        List<InetSocketAddress> candidates = new ArrayList<>(fetchedAddresses);
        candidates.addAll(seedAddresses);
        for (InetSocketAddress address : candidates) {
            try {
                HttpReply reply = client.send(HttpCall.read(address, target, TIME_LIMIT), MAXIMUM_ANSWER_BYTES);
                if (reply.isOk()) {
                    storeAddresses(WireFormat.decode(reply.body(), JsonNode.class));
                    return;
                }
            } catch (ExchangeException | IOException failure) {
                System.err.println("event=no-addresses from=" + address + " reason=\"" + failure.getMessage() + "\"");
            }
        }
    }

    private void storeAddresses(JsonNode answer) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (JsonNode entry : answer.path("addresses")) {
            addresses.add(parse(
                    entry.isTextual() ? entry.asText() : entry.path("address").asText()));
        }
        if (addresses.isEmpty()) {
            throw new IOException("the answer to /v1/addresses lists no address");
        }
        fetchedAddresses = addresses;
        long millis = answer.path("timeToLiveMillis").asLong(DEFAULT_TIME_TO_LIVE_MILLIS);
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
