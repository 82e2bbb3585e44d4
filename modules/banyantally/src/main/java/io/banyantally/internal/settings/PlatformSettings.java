package io.banyantally.internal.settings;

import java.net.InetSocketAddress;

/**
 * The addresses of the platform's interfaces.
 *
 * @param orderTokens whether the ordering interface uses order tokens to detect repeated orders
 */
public record PlatformSettings(
        InetSocketAddress keyValueStore,
        InetSocketAddress upstreamOrdering,
        InetSocketAddress usageReports,
        InetSocketAddress vmDirectory,
        InetSocketAddress weightStore,
        boolean orderTokens) {

    /** Reads the settings; problems are collected by {@code fields}. */
    static PlatformSettings read(JsonFields fields) {
        PlatformSettings settings = new PlatformSettings(
                fields.address("keyValueStore"),
                fields.address("upstreamOrdering"),
                fields.address("usageReports"),
                fields.address("vmDirectory"),
                fields.address("weightStore"),
                fields.flag("orderTokens", true));
        fields.finish();
        return settings;
    }
}
