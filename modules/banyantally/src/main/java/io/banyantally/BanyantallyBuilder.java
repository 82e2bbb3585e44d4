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

/** Builds a {@link Banyantally}. Only the settings are required; the platform is reached over HTTP unless another is set. */
public final class BanyantallyBuilder {

    private Optional<EntrySettings> settings = Optional.empty();
    private Optional<Platform> platform = Optional.empty();
    private Optional<UpstreamConnector> connector = Optional.empty();

    /** Creates a builder with defaults. */
    public BanyantallyBuilder() {}

    /** Sets the settings of the daemon. */
    public BanyantallyBuilder setSettings(EntrySettings newSettings) {
        settings = Optional.of(Objects.requireNonNull(newSettings, "settings are null; read them from a file"));
        return this;
    }

    /** Replaces the platform's interfaces, such as by those of an in-memory platform. */
    public BanyantallyBuilder setPlatform(Platform newPlatform) {
        platform = Optional.of(Objects.requireNonNull(newPlatform, "platform is null; leave it out for HTTP"));
        return this;
    }

    /** Replaces the way to upstreams. */
    public BanyantallyBuilder setUpstreamConnector(UpstreamConnector newConnector) {
        connector = Optional.of(Objects.requireNonNull(newConnector, "connector is null; leave it out for HTTP"));
        return this;
    }

    /** Puts a daemon together; {@link Banyantally#start} starts it. */
    public Banyantally create() {
        EntrySettings chosen =
                settings.orElseThrow(() -> new IllegalStateException("settings are missing; call setSettings first"));
        AdapterHttpClient client = AdapterHttpClient.start();
        return new Banyantally(DaggerEntryComponent.factory()
                .create(
                        chosen,
                        platform.orElseGet(() -> HttpPlatform.connect(client, chosen.platform())),
                        connector.orElseGet(() -> new HttpUpstreamConnector(client)))
                .daemon());
    }
}
