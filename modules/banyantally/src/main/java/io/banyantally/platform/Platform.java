package io.banyantally.platform;

import java.util.Objects;

/** The platform interfaces that an entry daemon uses. */
public record Platform(
        KeyValueStore keyValueStore,
        UpstreamOrdering upstreamOrdering,
        UsageReportSink usageReports,
        VmDirectory vmDirectory,
        WeightStore weightStore) {

    /** Rejects missing interfaces. */
    public Platform {
        Objects.requireNonNull(keyValueStore, "key-value service is missing; set it");
        Objects.requireNonNull(upstreamOrdering, "upstream ordering is missing; set it");
        Objects.requireNonNull(usageReports, "usage reports are missing; set them");
        Objects.requireNonNull(vmDirectory, "VM directory is missing; set it");
        Objects.requireNonNull(weightStore, "weight store is missing; set it");
    }
}
