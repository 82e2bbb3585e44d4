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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.Collectors;

/**
 * The VMs of the system and the holder of the duties, as last read from the store. While the store is away the list stays
 * as it was, since leases may lapse then although their VMs serve.
 */
public final class MemberList implements PrefixListener {

    private static final EventLog LOG = EventLog.of(MemberList.class);

    private final Map<StoreKey, MemberEntry> members = new ConcurrentSkipListMap<>();
    private volatile Optional<StoreItem> dutyHolder = Optional.empty();

    /** Creates a list without VMs. */
    public MemberList() {}

    /** Returns the VMs in the order of their names. */
    public List<MemberEntry> members() {
        return List.copyOf(members.values());
    }

    /** Returns the item that names the holder of the duties. */
    public Optional<StoreItem> dutyHolder() {
        return dutyHolder;
    }

    @Override
    public void listed(StoreListing listing) {
        Set<StoreKey> present = listing.items().stream().map(StoreItem::key).collect(Collectors.toSet());
        members.keySet().stream().filter(key -> !present.contains(key)).toList().forEach(this::removed);
        if (!present.contains(GatewayStoreKeys.DUTY_HOLDER)) {
            dutyHolder = Optional.empty();
        }
        listing.items().forEach(this::written);
    }

    @Override
    public void changed(StoreChanges changes) {
        for (StoreChange change : changes.changes()) {
            switch (change) {
                case StoreChange.Written written -> written(written.item());
                case StoreChange.Removed removed -> removed(removed.key());
            }
        }
    }

    private void written(StoreItem item) {
        if (item.key().equals(GatewayStoreKeys.DUTY_HOLDER)) {
            dutyHolder = Optional.of(item);
            return;
        }
        try {
            MemberEntry entry = WireFormat.decode(item.value(), MemberEntry.class);
            if (!entry.equals(members.put(item.key(), entry))) {
                LOG.info("vm_listed", EventField.of("vm", entry.vm()), EventField.of("callers", entry.callers()));
            }
        } catch (IOException unreadable) {
            LOG.error("vm_entry_unreadable", unreadable, EventField.of("key", item.key()));
        }
    }

    private void removed(StoreKey key) {
        if (key.equals(GatewayStoreKeys.DUTY_HOLDER)) {
            dutyHolder = Optional.empty();
            return;
        }
        MemberEntry removed = members.remove(key);
        if (removed != null) {
            LOG.info("vm_gone", EventField.of("vm", removed.vm()));
        }
    }
}
