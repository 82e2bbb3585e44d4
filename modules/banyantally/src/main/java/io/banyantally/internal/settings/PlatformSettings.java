package io.banyantally.internal.settings;

import java.net.URI;

/** Where the platform's interfaces are. */
public record PlatformSettings(
        URI keyValueStore, URI upstreamOrdering, URI usageReports, URI vmDirectory, URI weightStore) {

    /** Reads the settings; problems are collected by {@code fields}. */
    static PlatformSettings read(JsonFields fields) {
        PlatformSettings settings = new PlatformSettings(
                fields.uri("keyValueStore"),
                fields.uri("upstreamOrdering"),
                fields.uri("usageReports"),
                fields.uri("vmDirectory"),
                fields.uri("weightStore"));
        fields.finish();
        return settings;
    }
}
