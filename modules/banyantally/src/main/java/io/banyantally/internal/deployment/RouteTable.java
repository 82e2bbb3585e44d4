package io.banyantally.internal.deployment;

import io.banyantally.deployment.RouteRule;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the longest prefix of its path among the routes of its host. */
public final class RouteTable {

    private final Map<String, Map<String, RouteRule>> byHostAndPrefix = new HashMap<>();

    /** Indexes routes. */
    public RouteTable(List<RouteRule> routes) {
        for (RouteRule route : routes) {
            byHostAndPrefix
                    .computeIfAbsent(normalized(route.host()), host -> new HashMap<>())
                    .put(route.prefix(), route);
        }
    }

    /** Returns the route of a host, whose port is ignored, and a path without query. */
    public Optional<RouteRule> find(String host, String path) {
        Map<String, RouteRule> byPrefix = byHostAndPrefix.get(normalized(host));
        if (byPrefix == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            RouteRule route = byPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String normalized(String host) {
        int port = host.indexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }
}
