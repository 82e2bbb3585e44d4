package io.banyantally.internal.deployment;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The VMs of the system and the holder of the duties, as last read from the store. While the store is unavailable the
 * list stays unchanged, since leases may expire then although their VMs serve.
 */
public final class MemberList implements PrefixListener {

    private static final EventLog LOG = EventLog.of(MemberList.class);

    private volatile View view = View.EMPTY;

    /** Creates an empty list. */
    public MemberList() {}

    /** Returns the VMs, ordered by name. */
    public List<MemberEntry> members() {
        return List.copyOf(view.members().values());
    }

    /** Returns the item that names the holder of the duties; empty if there is none. */
    public Optional<StoreItem> dutyHolder() {
        return view.dutyHolder();
    }

    @Override
    public void listed(StoreListing listing) {
        Set<StoreKey> present = listing.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        SortedMap<StoreKey, MemberEntry> remaining = new TreeMap<>(view.members());
        remaining.keySet().retainAll(present);
        publish(
                listing.items().stream()
                        .<StoreChange>map(StoreChange.Written::new)
                        .toList(),
                new View(remaining, Optional.empty()));
    }

    /** A batch may repeat changes, so only its end state is published. */
    @Override
    public void changed(StoreChanges changes) {
        publish(changes.changes(), view);
    }

    private void publish(List<StoreChange> changes, View from) {
        SortedMap<StoreKey, MemberEntry> members = new TreeMap<>(from.members());
        Optional<StoreItem> dutyHolder = from.dutyHolder();
        for (StoreChange change : changes) {
            if (change.key().equals(GatewayStoreKeys.DUTY_HOLDER)) {
                dutyHolder =
                        change instanceof StoreChange.Written written ? Optional.of(written.item()) : Optional.empty();
            } else {
                apply(change, members);
            }
        }
        View before = view;
        view = new View(members, dutyHolder);
        logDifferences(before.members(), members);
    }

    private static void apply(StoreChange change, SortedMap<StoreKey, MemberEntry> members) {
        switch (change) {
            case StoreChange.Written written ->
                decode(written.item()).ifPresent(entry -> members.put(change.key(), entry));
            case StoreChange.Removed removed -> members.remove(removed.key());
        }
    }

    private static Optional<MemberEntry> decode(StoreItem item) {
        try {
            return Optional.of(WireFormat.decode(item.value(), MemberEntry.class));
        } catch (IOException unreadable) {
            LOG.error("vm_entry_unreadable", unreadable, EventField.of("key", item.key()));
            return Optional.empty();
        }
    }

    private static void logDifferences(Map<StoreKey, MemberEntry> before, Map<StoreKey, MemberEntry> now) {
        now.forEach((key, entry) -> {
            if (!entry.equals(before.get(key))) {
                LOG.info("vm_listed", EventField.of("vm", entry.vm()), EventField.of("callers", entry.callers()));
            }
        });
        before.forEach((key, entry) -> {
            if (!now.containsKey(key)) {
                LOG.info("vm_gone", EventField.of("vm", entry.vm()));
            }
        });
    }

    /** The list at one moment; its map is not changed after construction. */
    private record View(SortedMap<StoreKey, MemberEntry> members, Optional<StoreItem> dutyHolder) {

        private static final View EMPTY = new View(Collections.emptySortedMap(), Optional.empty());
    }
}
