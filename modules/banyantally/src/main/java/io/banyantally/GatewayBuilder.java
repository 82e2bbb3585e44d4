package io.banyantally;

import java.util.Objects;
import java.util.Optional;

/** Builds a {@link Gateway}. Settings and platform are required. */
public final class GatewayBuilder {

    private Optional<GatewaySettings> settings = Optional.empty();
    private Optional<GatewayPlatform> platform = Optional.empty();

    /** Creates a builder without settings and platform. */
    public GatewayBuilder() {}

    /** Sets the settings, which are required. */
    public GatewayBuilder setSettings(GatewaySettings newSettings) {
        settings = Optional.of(Objects.requireNonNull(newSettings, "settings are null"));
        return this;
    }

    /** Sets the platform that the gateway runs on, which is required. */
    public GatewayBuilder setPlatform(GatewayPlatform newPlatform) {
        platform = Optional.of(Objects.requireNonNull(newPlatform, "platform is null"));
        return this;
    }

    /**
     * Creates the gateway without starting it.
     *
     * @throws IllegalStateException if the settings or the platform are missing
     */
    public Gateway create() {
        return new Gateway(
                settings.orElseThrow(() -> new IllegalStateException("settings are missing; call setSettings first")),
                platform.orElseThrow(() -> new IllegalStateException("platform is missing; call setPlatform first")));
    }
}
