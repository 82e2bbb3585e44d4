package io.banyantally.internal.streams;

import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceShare;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.ActiveConfiguration;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Writes the default versions of services with resumable streams. */
public final class DefaultVersionKeeper {

    /** How often to call {@link #endDefaults} and {@link #nameDefaults}. */
    public static final Duration INTERVAL = Duration.ofMillis(500);

    private static final EventLog LOG = EventLog.of(DefaultVersionKeeper.class);

    private final CoordinationStore store;
    private final DefaultVersions defaults;
    private final PresentVersions present;

    DefaultVersionKeeper(CoordinationStore store, DefaultVersions defaults, PresentVersions present) {
        this.store = store;
        this.defaults = defaults;
        this.present = present;
    }

    /**
     * Ends the defaults of which no upstream is left. Every VM does so, as streams can't be recorded in an outage that
     * begins before.
     */
    public void endDefaults(ActiveConfiguration configuration) {
        for (ServiceName service : services(configuration)) {
            Optional<SoftwareVersion> version = defaults.of(service);
            Set<SoftwareVersion> versions = present.of(service);
            if (version.isPresent() && !versions.isEmpty() && !versions.contains(version.get())) {
                write(service, DefaultVersion.none(service));
            }
        }
    }

    /** Names defaults where one version has served for long enough, while this VM holds the duties. */
    public void nameDefaults(ActiveConfiguration configuration) {
        for (ServiceName service : services(configuration)) {
            if (defaults.isRead() && defaults.of(service).isEmpty() && formerHasEnded(service)) {
                present.onlyOne(service, StreamVersions.TAKE_UP_TIME)
                        .ifPresent(version -> write(service, DefaultVersion.of(service, version)));
            }
        }
    }

    private boolean formerHasEnded(ServiceName service) {
        return !defaults.isNamed(service) || defaults.knownFor(service).compareTo(StreamVersions.TAKE_UP_TIME) >= 0;
    }

    private static Set<ServiceName> services(ActiveConfiguration configuration) {
        return configuration.document().routes().stream()
                .filter(RouteRule::hasResumableStreams)
                .flatMap(route -> route.services().stream())
                .map(ServiceShare::service)
                .collect(Collectors.toSet());
    }

    private void write(ServiceName service, DefaultVersion version) {
        StoreKey key = StreamStoreKeys.defaultVersion(service);
        StoreRevision revision = defaults.revision(service);
        try {
            store.apply(StoreTransaction.replace(key, revision, WireFormat.encode(version), Optional.empty()));
        } catch (RevisionConflictException changed) {
            // The watch delivers the newer one.
        } catch (StoreException failure) {
            LOG.warn(
                    "stream_default_not_written",
                    EventField.of("service", service),
                    EventField.of("reason", failure.getMessage()));
        }
    }
}
