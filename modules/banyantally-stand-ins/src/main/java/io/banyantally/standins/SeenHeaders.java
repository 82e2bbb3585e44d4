package io.banyantally.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** Keeps the names and values of the headers that an upstream has seen, so that a test can look for keys. */
public final class SeenHeaders {

    /** Exchange ids differ in every request; more values than this show nothing new. */
    private static final int MAXIMUM_VALUES = 20_000;

    private final Map<String, Set<String>> values = new ConcurrentSkipListMap<>(String.CASE_INSENSITIVE_ORDER);

    /** Keeps the headers of a request. */
    public void add(StandInExchange exchange) {
        exchange.forEachHeader((name, value) -> {
            Set<String> seen = values.computeIfAbsent(name, _ -> ConcurrentHashMap.newKeySet());
            if (seen.size() < MAXIMUM_VALUES) {
                seen.add(value);
            }
        });
    }

    /** Returns the headers in the order of their names. */
    public List<SeenHeader> all() {
        List<SeenHeader> headers = new ArrayList<>();
        values.forEach((name, seen) ->
                headers.add(new SeenHeader(name, seen.stream().sorted().toList())));
        return headers;
    }
}
