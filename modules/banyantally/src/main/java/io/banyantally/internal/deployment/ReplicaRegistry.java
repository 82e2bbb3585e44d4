package io.banyantally.internal.deployment;

import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The upstreams that have an entry in the platform's store. While the store is away, what was known last stays in use. An
 * entry that is missing when the store returns may have lapsed with the store, so it stays in use for a short time.
 */
public final class ReplicaRegistry implements PrefixListener {

    /**
     * How long an entry that lapsed while the store was away is still used. Live upstreams are back within two seconds of
     * the store's return, and after two seconds a leaving upstream must get no new work.
     */
    static final Duration LAPSE_GRACE = Duration.ofMillis(1800);

    private static final EventLog LOG = EventLog.of(ReplicaRegistry.class);

    private final DocumentReader reader;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final Map<StoreKey, ReplicaEntry> entries = new HashMap<>();
    private final Map<StoreKey, Long> missingSince = new HashMap<>();
    private volatile Map<ServiceName, List<ReplicaEntry>> byService = Map.of();

    /** Creates a registry without entries. */
    public ReplicaRegistry(DocumentReader reader, StoreHealth health, MonotonicClock clock) {
        this.reader = reader;
        this.health = health;
        this.clock = clock;
    }

    /** Returns all known upstreams of a service, leaving ones included. */
    public List<ReplicaEntry> replicas(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstreams of a service that take new work. */
    public List<ReplicaEntry> accepting(ServiceName service) {
        return replicas(service).stream().filter(entry -> !entry.draining()).toList();
    }

    /** Returns all known upstreams. */
    public List<ReplicaEntry> all() {
        return byService.values().stream().flatMap(List::stream).toList();
    }

    @Override
    public synchronized void listed(StoreListing listing) {
        Set<StoreKey> present = new HashSet<>();
        for (StoreItem item : listing.items()) {
            present.add(item.key());
            read(item);
        }
        Set<StoreKey> absent = new HashSet<>(entries.keySet());
        absent.removeAll(present);
        absent.forEach(this::missing);
        publish();
    }

    @Override
    public synchronized void changed(StoreChanges changes) {
        for (StoreChange change : changes.changes()) {
            switch (change) {
                case StoreChange.Written written -> read(written.item());
                case StoreChange.Removed removed -> missing(removed.key());
            }
        }
        publish();
    }

    /** Drops entries whose grace has passed; called several times a second. */
    public synchronized void dropLapsed() {
        if (missingSince.isEmpty() || !health.isReachable()) {
            return;
        }
        long now = clock.nanoTime();
        List<StoreKey> over = missingSince.entrySet().stream()
                .filter(missing -> now - missing.getValue() >= LAPSE_GRACE.toNanos())
                .map(Map.Entry::getKey)
                .toList();
        over.forEach(key -> remove(key, "lapsed"));
        if (!over.isEmpty()) {
            publish();
        }
    }

    private void read(StoreItem item) {
        missingSince.remove(item.key());
        try {
            ReplicaEntry entry = reader.replica(item.key(), item.value());
            ReplicaEntry former = entries.put(item.key(), entry);
            logChange(Optional.ofNullable(former), entry, item);
        } catch (UnreadableDocumentException unreadable) {
            ReplicaEntry former = entries.remove(item.key());
            LOG.warn(
                    "upstream_unreadable",
                    EventField.of("key", item.key()),
                    EventField.of("revision", item.versioned().revision()),
                    EventField.of("dropped", former != null),
                    EventField.of("reason", unreadable.getMessage()));
        }
    }

    private static void logChange(Optional<ReplicaEntry> former, ReplicaEntry entry, StoreItem item) {
        boolean same = former.isPresent()
                && former.get().draining() == entry.draining()
                && former.get().stage() == entry.stage()
                && former.get().address().equals(entry.address())
                && former.get().startedAtMillis().equals(entry.startedAtMillis());
        if (!same) {
            LOG.info(
                    former.isEmpty() ? "upstream_listed" : "upstream_changed",
                    EventField.of("upstream", entry.id()),
                    EventField.of("service", entry.service()),
                    EventField.of("zone", entry.zone()),
                    EventField.of("draining", entry.draining()),
                    EventField.of("stage", entry.stage()),
                    EventField.of("cheap", entry.cheap()),
                    EventField.of("revision", item.versioned().revision()));
        }
    }

    private void missing(StoreKey key) {
        if (!entries.containsKey(key)) {
            return;
        }
        boolean leaving = entries.get(key).draining();
        if (!leaving && health.isDisturbed(LAPSE_GRACE)) {
            missingSince.putIfAbsent(key, clock.nanoTime());
        } else {
            remove(key, "removed");
        }
    }

    private void remove(StoreKey key, String reason) {
        missingSince.remove(key);
        ReplicaEntry removed = entries.remove(key);
        if (removed != null) {
            LOG.info("upstream_gone", EventField.of("upstream", removed.id()), EventField.of("reason", reason));
        }
    }

    private void publish() {
        byService = entries.values().stream()
                .collect(Collectors.collectingAndThen(
                        Collectors.groupingBy(ReplicaEntry::service, Collectors.toUnmodifiableList()), Map::copyOf));
    }
}
