package io.banyantally.internal.deployment;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * The entries of the VMs at one moment. When the store comes back from an older copy, the entries of live VMs may be
 * missing there, or end with their leases, until the VMs write them again; so they are kept for a short time.
 *
 * @param era the era of the store that was listed last; empty before the first listing
 * @param keptUntil the monotonic time in nanoseconds until which missing entries are used; empty if the store has not
 *     come back
 * @param keptKeys the keys of the entries that were used when the store came back; others only its copy may have
 * @param entries all entries, with those that are kept
 * @param missing the keys of the entries that are not in the store
 */
record KnownMembers(
        Optional<StoreEra> era,
        OptionalLong keptUntil,
        Set<StoreKey> keptKeys,
        SortedMap<StoreKey, MemberEntry> entries,
        Set<StoreKey> missing) {

    static final KnownMembers NONE =
            new KnownMembers(Optional.empty(), OptionalLong.empty(), Set.of(), Collections.emptySortedMap(), Set.of());

    /** A live VM writes its entry again with one of its renewals. */
    static final Duration KEEP_TIME = MemberPresence.TIME_TO_LIVE;

    private static final EventLog LOG = EventLog.of(KnownMembers.class);

    /** Returns the entries to use at a time, ordered by name. */
    List<MemberEntry> at(long now) {
        return entries.entrySet().stream()
                .filter(entry -> isUsed(entry.getKey(), now))
                .map(Map.Entry::getValue)
                .toList();
    }

    private boolean isUsed(StoreKey key, long now) {
        return isKeeping(now) || !missing.contains(key);
    }

    /** Returns the entries after a listing that arrives at a time. */
    KnownMembers listed(StoreListing listing, long now) {
        Set<StoreKey> present = listing.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        List<StoreChange> changes = new ArrayList<>();
        entries.keySet().stream()
                .filter(key -> !present.contains(key))
                .forEach(key -> changes.add(new StoreChange.Removed(key)));
        listing.items().forEach(item -> changes.add(new StoreChange.Written(item)));
        return inEra(listing.revision().era(), now).changed(changes, now);
    }

    private KnownMembers inEra(StoreEra listed, long now) {
        if (era.isEmpty() || !listed.isAfter(era.get())) {
            return new KnownMembers(Optional.of(listed), keptUntil, keptKeys, entries, missing);
        }
        Set<StoreKey> used =
                entries.keySet().stream().filter(key -> isUsed(key, now)).collect(Collectors.toUnmodifiableSet());
        return new KnownMembers(
                Optional.of(listed), OptionalLong.of(now + KEEP_TIME.toNanos()), used, entries, missing);
    }

    /** Returns the entries after changes that arrive at a time. */
    KnownMembers changed(StoreChanges changes, long now) {
        return changed(changes.changes(), now);
    }

    private KnownMembers changed(List<StoreChange> changes, long now) {
        SortedMap<StoreKey, MemberEntry> nextEntries = new TreeMap<>(entries);
        Set<StoreKey> nextMissing = new TreeSet<>(missing);
        for (StoreChange change : changes) {
            switch (change) {
                case StoreChange.Written written ->
                    decode(written.item()).ifPresent(entry -> {
                        nextEntries.put(change.key(), entry);
                        nextMissing.remove(change.key());
                    });
                case StoreChange.Removed removed -> nextMissing.add(removed.key());
            }
        }
        nextEntries.keySet().removeIf(key -> nextMissing.contains(key) && !(isKeeping(now) && keptKeys.contains(key)));
        nextMissing.retainAll(nextEntries.keySet());
        return new KnownMembers(era, keptUntil, keptKeys, nextEntries, nextMissing);
    }

    private boolean isKeeping(long now) {
        return keptUntil.isPresent() && now - keptUntil.getAsLong() < 0;
    }

    private static Optional<MemberEntry> decode(StoreItem item) {
        if (item.key().equals(GatewayStoreKeys.DUTY_HOLDER)) {
            return Optional.empty();
        }
        try {
            return Optional.of(WireFormat.decode(item.value(), MemberEntry.class));
        } catch (IOException unreadable) {
            LOG.error("vm_entry_unreadable", unreadable, EventField.of("key", item.key()));
            return Optional.empty();
        }
    }
}
