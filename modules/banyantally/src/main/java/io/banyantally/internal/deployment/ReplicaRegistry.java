package io.banyantally.internal.deployment;

import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The upstreams that have an entry in the platform's store. While the store is unavailable, the last known entries stay
 * in use. An entry that is missing after an outage may have expired because of it, so it stays in use for a short time,
 * which a failed call does not extend; after a failed call without an outage, such as a watch that was cut, it is
 * dropped at once. A store that comes back from an older copy may lack entries until the upstreams write them again, as
 * after an outage.
 */
public final class ReplicaRegistry implements PrefixListener {

    /** How long a missing entry is used after an outage; live upstreams register again within two seconds after it. */
    static final Duration LAPSED_ENTRY_GRACE = Duration.ofMillis(1800);

    /** Longer than the time between two answers to a watch while the store is reachable. */
    private static final Duration MAXIMUM_WATCH_GAP = PrefixWatcher.SHORT_WATCH.plusMillis(400);

    /** Unreadable entries beyond these are not logged one by one. */
    private static final int MAXIMUM_LOGGED_KEYS = 100;

    private static final EventLog LOG = EventLog.of(ReplicaRegistry.class);

    private final DocumentReader reader;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final Map<StoreKey, ReplicaEntry> entries = new HashMap<>();

    private final Map<StoreKey, Absence> missing = new HashMap<>();

    /** The entries that are logged as unreadable; each is logged once, however often another writer writes it. */
    private final Set<StoreKey> unreadableKeys = new HashSet<>();

    private final Map<UpstreamId, Long> readAt = new ConcurrentHashMap<>();
    private final LastUpstreamEntries lastEntries = new LastUpstreamEntries();
    private Optional<StoreEra> era = Optional.empty();
    private OptionalLong returnedAt = OptionalLong.empty();
    private volatile long caughtUpAt;
    private volatile Map<UpstreamId, Absence> missingById = Map.of();
    private volatile Map<UpstreamId, ReplicaEntry> byId = Map.of();
    private volatile Map<ServiceName, List<ReplicaEntry>> byService = Map.of();

    /** Creates an empty registry. */
    public ReplicaRegistry(DocumentReader reader, StoreHealth health, MonotonicClock clock) {
        this.reader = reader;
        this.health = health;
        this.clock = clock;
        this.caughtUpAt = clock.nanoTime();
    }

    /** Returns all known upstreams of a service, leaving ones included. */
    public List<ReplicaEntry> replicas(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the upstreams of a service that accept new work. */
    public List<ReplicaEntry> accepting(ServiceName service) {
        return replicas(service).stream().filter(this::isAccepting).toList();
    }

    /** Returns whether a known upstream accepts new work. */
    public boolean isAccepting(ReplicaEntry entry) {
        Absence absence = missingById.get(entry.id());
        return !entry.draining() && (absence == null || isUsable(absence));
    }

    /**
     * Returns whether an upstream that was chosen earlier still accepts new work, in the same lifetime and with the same software.
     *
     * @param chosen its entry at the time of the choice
     */
    public boolean isStillAccepting(ReplicaEntry chosen) {
        ReplicaEntry present = byId.get(chosen.id());
        return present != null && present.startedAtMillis().equals(chosen.startedAtMillis()) && isAccepting(present);
    }

    /** An entry that an outage may have ended is also used in the next outage, if there was no time to write it again. */
    private boolean isUsable(Absence absence) {
        return !hasLapsed(absence)
                || (absence.endedUnseen()
                        && !health.isReachable()
                        && sinceCaughtUp().compareTo(MAXIMUM_WATCH_GAP) > 0);
    }

    private boolean hasLapsed(Absence absence) {
        return clock.nanoTime() - absence.until() >= 0;
    }

    /** Returns all known upstreams. */
    public List<ReplicaEntry> all() {
        return byService.values().stream().flatMap(List::stream).toList();
    }

    /** Returns how long ago the entry of an upstream was last read; zero if it is not known. */
    public Duration sinceRead(UpstreamId upstream) {
        Long at = readAt.get(upstream);
        return at == null ? Duration.ZERO : clock.since(at);
    }

    /** Returns how long ago the store last confirmed the known entries. */
    public Duration sinceCaughtUp() {
        return clock.since(caughtUpAt);
    }

    @Override
    public synchronized void listed(StoreListing listing) {
        observe(listing.revision().era());
        Set<StoreKey> present = new HashSet<>();
        for (StoreItem item : listing.items()) {
            present.add(item.key());
            read(item);
        }
        unreadableKeys.retainAll(present);
        Set<StoreKey> absent = new HashSet<>(entries.keySet());
        absent.removeAll(present);
        absent.forEach(this::handleMissing);
        rebuildIndex();
    }

    private void observe(StoreEra listed) {
        if (era.isPresent() && listed.isAfter(era.get())) {
            returnedAt = OptionalLong.of(clock.nanoTime());
        }
        era = Optional.of(listed);
    }

    @Override
    public synchronized void changed(StoreChanges changes) {
        for (StoreChange change : changes.changes()) {
            switch (change) {
                case StoreChange.Written written -> read(written.item());
                case StoreChange.Removed removed -> handleMissing(removed.key());
            }
        }
        rebuildIndex();
    }

    @Override
    public synchronized void caughtUp() {
        caughtUpAt = clock.nanoTime();
    }

    /** Drops missing entries that are no longer used; call it several times a second. */
    public synchronized void dropLapsed() {
        if (missing.isEmpty()) {
            return;
        }
        List<StoreKey> expired = missing.entrySet().stream()
                .filter(absence ->
                        hasLapsed(absence.getValue()) && (!absence.getValue().endedUnseen() || health.isReachable()))
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(key -> remove(key, "lapsed"));
        if (!expired.isEmpty()) {
            rebuildIndex();
        }
    }

    private void read(StoreItem item) {
        try {
            ReplicaEntry entry = reader.replica(item.key(), item.value());
            StoreEra written = item.versioned().revision().era();
            if (lastEntries.isOutdated(entry, written)) {
                LOG.info(
                        "upstream_entry_outdated",
                        EventField.of("upstream", entry.id()),
                        EventField.of("draining", entry.draining()),
                        EventField.of("revision", item.versioned().revision()));
                return;
            }
            unreadableKeys.remove(item.key());
            lastEntries.present(entry, written);
            missing.remove(item.key());
            ReplicaEntry previous = entries.put(item.key(), entry);
            readAt.put(entry.id(), clock.nanoTime());
            logChange(Optional.ofNullable(previous), entry, item);
        } catch (UnreadableDocumentException unreadable) {
            missing.remove(item.key());
            ReplicaEntry previous = entries.remove(item.key());
            if (previous != null || (unreadableKeys.size() < MAXIMUM_LOGGED_KEYS && unreadableKeys.add(item.key()))) {
                LOG.warn(
                        "upstream_unreadable",
                        EventField.of("key", item.key()),
                        EventField.of("revision", item.versioned().revision()),
                        EventField.of("dropped", previous != null),
                        EventField.of("reason", unreadable.getMessage()));
            }
        }
    }

    private static void logChange(Optional<ReplicaEntry> previous, ReplicaEntry entry, StoreItem item) {
        boolean same = previous.isPresent()
                && previous.get().draining() == entry.draining()
                && previous.get().stage() == entry.stage()
                && previous.get().address().equals(entry.address())
                && previous.get().version().equals(entry.version())
                && previous.get().startedAtMillis().equals(entry.startedAtMillis());
        if (!same) {
            LOG.info(
                    previous.isEmpty() ? "upstream_listed" : "upstream_changed",
                    EventField.of("upstream", entry.id()),
                    EventField.of("service", entry.service()),
                    EventField.of("zone", entry.zone()),
                    EventField.of("draining", entry.draining()),
                    EventField.of("stage", entry.stage()),
                    EventField.of("version", entry.version()),
                    EventField.of("cheap", entry.cheap()),
                    EventField.of("revision", item.versioned().revision()));
        }
    }

    private void handleMissing(StoreKey key) {
        unreadableKeys.remove(key);
        if (!entries.containsKey(key)) {
            return;
        }
        boolean lostByStore = isWithinGrace(returnedAt);
        if (!lostByStore) {
            lastEntries.gone(entries.get(key));
        }
        OptionalLong graceStart = lostByStore ? returnedAt : health.lastOutageEnd();
        if (!entries.get(key).draining() && isWithinGrace(graceStart)) {
            boolean endedUnseen = lostByStore || sinceCaughtUp().compareTo(MAXIMUM_WATCH_GAP) > 0;
            keepMissing(key, new Absence(graceEnd(graceStart), endedUnseen));
        } else {
            remove(key, "removed");
        }
    }

    private void keepMissing(StoreKey key, Absence absence) {
        if (missing.putIfAbsent(key, absence) == null) {
            LOG.info(
                    "upstream_missing",
                    EventField.of("upstream", entries.get(key).id()),
                    EventField.of(
                            "used_for_ms",
                            Duration.ofNanos(absence.until() - clock.nanoTime()).toMillis()),
                    EventField.of("caught_up_ms_ago", sinceCaughtUp().toMillis()));
        }
    }

    private boolean isWithinGrace(OptionalLong start) {
        return start.isPresent() && clock.nanoTime() - graceEnd(start) < 0;
    }

    private static long graceEnd(OptionalLong start) {
        return start.getAsLong() + LAPSED_ENTRY_GRACE.toNanos();
    }

    private void remove(StoreKey key, String reason) {
        missing.remove(key);
        ReplicaEntry removed = entries.remove(key);
        if (removed != null) {
            readAt.remove(removed.id());
            LOG.info("upstream_gone", EventField.of("upstream", removed.id()), EventField.of("reason", reason));
        }
    }

    private void rebuildIndex() {
        missingById = missing.entrySet().stream()
                .collect(Collectors.toUnmodifiableMap(
                        absence -> entries.get(absence.getKey()).id(), Map.Entry::getValue));
        byId = entries.values().stream().collect(Collectors.toUnmodifiableMap(ReplicaEntry::id, Function.identity()));
        byService = entries.values().stream()
                .collect(Collectors.collectingAndThen(
                        Collectors.groupingBy(ReplicaEntry::service, Collectors.toUnmodifiableList()), Map::copyOf));
    }

    /**
     * A missing entry that is still used.
     *
     * @param until the monotonic time in nanoseconds until which it is used
     * @param endedUnseen whether it was removed while the store was not watched, so that an outage may have ended it
     */
    private record Absence(long until, boolean endedUnseen) {}
}
