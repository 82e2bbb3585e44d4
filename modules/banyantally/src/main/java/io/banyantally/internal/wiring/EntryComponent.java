package io.banyantally.internal.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;

/** All parts of one entry daemon. */
@Singleton
@Component(
        modules = {
            CoreModule.class,
            ConfigurationModule.class,
            UsageModule.class,
            AuthorityModule.class,
            FleetModule.class,
            RequestModule.class
        })
public interface EntryComponent {

    /** Returns the daemon. */
    EntryDaemon daemon();

    /** Takes what comes from outside. */
    @Component.Factory
    interface Factory {

        /** Puts a daemon together; nothing is started. */
        EntryComponent create(
                @BindsInstance EntrySettings settings,
                @BindsInstance Platform platform,
                @BindsInstance UpstreamConnector connector);
    }
}
