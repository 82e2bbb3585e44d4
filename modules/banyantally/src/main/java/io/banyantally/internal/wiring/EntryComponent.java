package io.banyantally.internal.wiring;

import dagger.BindsInstance;
import dagger.Component;
import io.banyantally.internal.routing.UpstreamConnector;
import io.banyantally.internal.settings.EntrySettings;
import io.banyantally.platform.Platform;
import jakarta.inject.Singleton;

/** The Dagger component of an entry daemon. */
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

    /** Returns the entry daemon, which is not started. */
    EntryDaemon daemon();

    /** Creates the component from its external dependencies. */
    @Component.Factory
    interface Factory {

        /** Creates the object graph; starts nothing. */
        EntryComponent create(
                @BindsInstance EntrySettings settings,
                @BindsInstance Platform platform,
                @BindsInstance UpstreamConnector connector);
    }
}
