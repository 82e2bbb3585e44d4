package io.banyantally.internal.adapter;

import io.banyantally.internal.settings.PlatformSettings;
import io.banyantally.platform.Platform;

/** Reaches all interfaces of the platform over HTTP. */
public final class HttpPlatform {

    private HttpPlatform() {}

    /** Returns the interfaces at the addresses of the settings; nothing is sent yet. */
    public static Platform connect(AdapterHttpClient client, PlatformSettings settings) {
        return new Platform(
                new HttpKeyValueStore(client, settings.keyValueStore()),
                new HttpUpstreamOrdering(client, settings.upstreamOrdering(), settings.orderTokens()),
                new HttpUsageReportSink(client, settings.usageReports()),
                new HttpVmDirectory(client, settings.vmDirectory()),
                new HttpWeightStore(client, settings.weightStore()));
    }
}
