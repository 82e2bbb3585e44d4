package io.banyantally.internal.streams;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.PrefixListener;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreRevision;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The default versions of all services, as last read from the store. */
public final class DefaultVersions implements PrefixListener {

    private static final EventLog LOG = EventLog.of(DefaultVersions.class);

    private final MonotonicClock clock;
    private volatile Map<ServiceName, Known> known = Map.of();
    private volatile boolean read;

    /** Creates an empty set. */
    public DefaultVersions(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the default version of a service; empty while every stream is recorded, or the store has not been read. */
    Optional<SoftwareVersion> of(ServiceName service) {
        return Optional.ofNullable(known.get(service))
                .flatMap(former -> former.version().version());
    }

    /** Returns whether a default has ever been named for a service. */
    boolean isNamed(ServiceName service) {
        return known.containsKey(service);
    }

    /** Returns the revision of the default of a service; {@link StoreRevision#ABSENT} if there is none. */
    StoreRevision revision(ServiceName service) {
        return Optional.ofNullable(known.get(service)).map(Known::revision).orElse(StoreRevision.ABSENT);
    }

    /** Returns for how long this process has known the present default of a service; zero if there is none. */
    Duration knownFor(ServiceName service) {
        return Optional.ofNullable(known.get(service))
                .map(Known::readAt)
                .map(clock::since)
                .orElse(Duration.ZERO);
    }

    /** Returns whether the store has been read. */
    boolean isRead() {
        return read;
    }

    @Override
    public synchronized void listed(StoreListing listing) {
        Map<ServiceName, Known> next = new HashMap<>();
        listing.items().forEach(item -> add(next, item));
        known = Map.copyOf(next);
        read = true;
    }

    @Override
    public synchronized void changed(StoreChanges changes) {
        Map<ServiceName, Known> next = new HashMap<>(known);
        for (StoreChange change : changes.changes()) {
            next.values().removeIf(former -> former.isOf(change));
            if (change instanceof StoreChange.Written written) {
                add(next, written.item());
            }
        }
        known = Map.copyOf(next);
    }

    private void add(Map<ServiceName, Known> next, StoreItem item) {
        try {
            DefaultVersion version = WireFormat.decode(item.value(), DefaultVersion.class);
            StoreRevision revision = item.versioned().revision();
            Known former = known.get(version.service());
            boolean same = former != null && former.version().equals(version);
            if (!same) {
                LOG.info(
                        "stream_default_changed",
                        EventField.of("service", version.service()),
                        EventField.of(
                                "version",
                                version.version().map(Object::toString).orElse("none")),
                        EventField.of("revision", revision));
            }
            next.put(version.service(), new Known(version, revision, same ? former.readAt() : clock.nanoTime()));
        } catch (IOException unreadable) {
            LOG.warn(
                    "stream_default_unreadable",
                    EventField.of("key", item.key()),
                    EventField.of("reason", unreadable.getMessage()));
        }
    }

    private record Known(DefaultVersion version, StoreRevision revision, long readAt) {

        boolean isOf(StoreChange change) {
            return StreamStoreKeys.defaultVersion(version.service()).equals(change.key());
        }
    }
}
