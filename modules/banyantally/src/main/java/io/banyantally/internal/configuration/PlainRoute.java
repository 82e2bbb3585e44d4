package io.banyantally.internal.configuration;

/**
 * A route of a plain service.
 *
 * @param pathPrefix the prefix of the matching paths, such as {@code /buoys}; the longest matching prefix applies
 * @param open whether requests need no API key
 * @param repeatable whether its calls are idempotent regardless of their method
 */
public record PlainRoute(String pathPrefix, boolean open, boolean repeatable) {

    /** Rejects a prefix that does not start with a slash, since no path can match it. */
    public PlainRoute {
        if (pathPrefix == null || !pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException("path prefix '" + pathPrefix + "' is not valid; start it with '/'");
        }
    }
}
