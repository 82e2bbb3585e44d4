package io.banyantally.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** Records the headers that an upstream received, so that a test can check that no API key is among them. */
public final class ReceivedHeaders {

    /** Exchange ids differ in every request; more values than this add no information. */
    private static final int MAXIMUM_VALUES = 20_000;

    private final Map<String, Set<String>> values = new ConcurrentSkipListMap<>(String.CASE_INSENSITIVE_ORDER);

    /** Records the headers of a request. */
    public void add(StandInExchange exchange) {
        exchange.forEachHeader((name, value) -> {
            Set<String> received = values.computeIfAbsent(name, _ -> ConcurrentHashMap.newKeySet());
            if (received.size() < MAXIMUM_VALUES) {
                received.add(value);
            }
        });
    }

    /** Returns the headers, sorted by name. */
    public List<ReceivedHeader> all() {
        List<ReceivedHeader> headers = new ArrayList<>();
        values.forEach((name, received) ->
                headers.add(new ReceivedHeader(name, received.stream().sorted().toList())));
        return headers;
    }
}
