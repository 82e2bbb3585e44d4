package io.banyantally.internal.deployment;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The VMs of the system and the holder of the duties, as last read from the store. While the store is unavailable the
 * list stays unchanged, since leases may expire then although their VMs serve.
 */
public final class MemberList implements PrefixListener {

    private static final EventLog LOG = EventLog.of(MemberList.class);

    private final MonotonicClock clock;
    private volatile View view = View.EMPTY;

    /** Creates an empty list. */
    public MemberList() {
        this(MonotonicClock.SYSTEM);
    }

    /** Creates an empty list; the clock tells how long missing entries are kept. */
    MemberList(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns the VMs, ordered by name. */
    public List<MemberEntry> members() {
        return view.members().at(clock.nanoTime());
    }

    /** Returns whether the store has been listed, so that an empty list means that there are no VMs. */
    public boolean isListed() {
        return view.members().era().isPresent();
    }

    /** Returns the item that names the holder of the duties; empty if there is none. */
    public Optional<StoreItem> dutyHolder() {
        return view.dutyHolder();
    }

    @Override
    public void listed(StoreListing listing) {
        Optional<StoreItem> dutyHolder = listing.items().stream()
                .filter(item -> item.key().equals(GatewayStoreKeys.DUTY_HOLDER))
                .findFirst();
        publish(new View(view.members().listed(listing, clock.nanoTime()), dutyHolder));
    }

    /** A batch may repeat changes, so only its end state is published. */
    @Override
    public void changed(StoreChanges changes) {
        Optional<StoreItem> dutyHolder = view.dutyHolder();
        for (StoreChange change : changes.changes()) {
            if (change.key().equals(GatewayStoreKeys.DUTY_HOLDER)) {
                dutyHolder =
                        change instanceof StoreChange.Written written ? Optional.of(written.item()) : Optional.empty();
            }
        }
        publish(new View(view.members().changed(changes, clock.nanoTime()), dutyHolder));
    }

    private void publish(View next) {
        View before = view;
        view = next;
        logDifferences(before.members().entries(), next.members().entries());
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

    /** The list at one moment. */
    private record View(KnownMembers members, Optional<StoreItem> dutyHolder) {

        private static final View EMPTY = new View(KnownMembers.NONE, Optional.empty());
    }
}
