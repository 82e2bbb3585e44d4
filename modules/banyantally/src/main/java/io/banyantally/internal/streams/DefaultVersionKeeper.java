package io.banyantally.internal.streams;

import io.banyantally.deployment.RouteRule;
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

/** Writes the default versions of services with resumable streams, while this VM holds the duties. */
public final class DefaultVersionKeeper {

    /** How often to call {@link #run}. */
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

    /** Writes the defaults that have to change. */
    public void run(ActiveConfiguration configuration) {
        if (!defaults.isRead()) {
            return;
        }
        Set<ServiceName> services = configuration.document().routes().stream()
                .filter(RouteRule::hasResumableStreams)
                .flatMap(route -> route.services().stream())
                .map(share -> share.service())
                .collect(Collectors.toSet());
        for (ServiceName service : services) {
            next(service).ifPresent(version -> write(service, version));
        }
    }

    /** Returns the default that a service should get; empty if it keeps the present one. */
    private Optional<DefaultVersion> next(ServiceName service) {
        Set<SoftwareVersion> versions = present.of(service);
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        Optional<DefaultVersion> current = defaults.of(service);
        if (current.isPresent() && current.get().version().isPresent()) {
            return versions.contains(current.get().version().get())
                    ? Optional.empty()
                    : Optional.of(current.get().ended());
        }
        SoftwareVersion version = versions.iterator().next();
        // Until then, a stream that could not be recorded may have another version.
        boolean othersHaveEnded = present.isOnly(service, version, StreamVersions.TAKE_UP_TIME);
        boolean formerHasEnded =
                current.isEmpty() || defaults.knownFor(service).compareTo(StreamVersions.TAKE_UP_TIME) >= 0;
        return othersHaveEnded && formerHasEnded ? Optional.of(DefaultVersion.of(service, version)) : Optional.empty();
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
