package io.banyantally.internal.adapter;

import io.banyantally.internal.settings.PlatformSettings;
import io.banyantally.platform.Platform;

/** Creates HTTP clients of all platform interfaces. */
public final class HttpPlatform {

    private HttpPlatform() {}

    /** Creates clients for the addresses in the settings; sends no request. */
    public static Platform connect(AdapterHttpClient client, PlatformSettings settings) {
        return new Platform(
                new HttpKeyValueStore(client, settings.keyValueStore()),
                new HttpUpstreamOrdering(client, settings.upstreamOrdering(), settings.orderTokens()),
                new HttpUsageReportSink(client, settings.usageReports()),
                new HttpVmDirectory(client, settings.vmDirectory()),
                new HttpWeightStore(client, settings.weightStore()));
    }
}
