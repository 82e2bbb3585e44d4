package io.banyantally;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.HttpPlatform;
import io.banyantally.internal.adapter.HttpUpstreamConnector;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.internal.wiring.DaggerEntryComponent;
import io.banyantally.platform.Platform;
import java.util.Objects;
import java.util.Optional;

/**
 * Builds a {@link Banyantally}. Only the settings are required; the platform and upstreams are used over HTTP by
 * default.
 */
public final class BanyantallyBuilder {

    private Optional<EntrySettings> settings = Optional.empty();
    private Optional<Platform> platform = Optional.empty();
    private Optional<UpstreamConnector> connector = Optional.empty();

    /** Creates a builder with HTTP clients for the platform and upstreams. */
    public BanyantallyBuilder() {}

    /** Sets the daemon's settings, which are required. */
    public BanyantallyBuilder setSettings(EntrySettings newSettings) {
        settings = Optional.of(Objects.requireNonNull(newSettings, "settings are null; read them from a file"));
        return this;
    }

    /** Replaces the HTTP clients of the platform, such as by an in-memory platform. */
    public BanyantallyBuilder setPlatform(Platform newPlatform) {
        platform = Optional.of(Objects.requireNonNull(newPlatform, "platform is null; omit it to use HTTP"));
        return this;
    }

    /** Replaces the HTTP clients of upstreams. */
    public BanyantallyBuilder setUpstreamConnector(UpstreamConnector newConnector) {
        connector = Optional.of(Objects.requireNonNull(newConnector, "connector is null; omit it to use HTTP"));
        return this;
    }

    /**
     * Creates the daemon without starting it.
     *
     * @throws IllegalStateException if the settings are missing
     */
    public Banyantally create() {
        EntrySettings requiredSettings =
                settings.orElseThrow(() -> new IllegalStateException("settings are missing; call setSettings first"));
        AdapterHttpClient client = AdapterHttpClient.start();
        return new Banyantally(DaggerEntryComponent.factory()
                .create(
                        requiredSettings,
                        platform.orElseGet(() -> HttpPlatform.connect(client, requiredSettings.platform())),
                        connector.orElseGet(() -> new HttpUpstreamConnector(client)))
                .daemon());
    }
}
