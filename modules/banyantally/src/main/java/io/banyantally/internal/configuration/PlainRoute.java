package io.banyantally.internal.configuration;

/**
 * A path of a plain service.
 *
 * @param pathPrefix the start of the paths that it covers, such as {@code /buoys}; the longest match counts
 * @param open whether it needs no key
 * @param repeatable whether its calls are idempotent whatever their method
 */
public record PlainRoute(String pathPrefix, boolean open, boolean repeatable) {

    /** Rejects prefixes that no path can match. */
    public PlainRoute {
        if (pathPrefix == null || !pathPrefix.startsWith("/")) {
            throw new IllegalArgumentException("path prefix '" + pathPrefix + "' is not valid; start it with '/'");
        }
    }
}
