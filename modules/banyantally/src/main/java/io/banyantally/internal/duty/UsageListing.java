package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The usage counts and sealed windows in the store, as listed once; what can't be read is left out. */
final class UsageListing {

    private static final EventLog LOG = EventLog.of(UsageListing.class);

    private final StoreEra era;
    private final Map<StoreKey, StoreItem> items = new HashMap<>();
    private final Map<StoreKey, WindowCounts> counts = new HashMap<>();

    /** Decodes the items under the prefix of usage. */
    UsageListing(StoreListing listing) {
        era = listing.revision().era();
        for (StoreItem item : listing.items()) {
            items.put(item.key(), item);
            if (GatewayStoreKeys.isUsageCounts(item.key())) {
                decode(item, WindowCounts.class).ifPresent(written -> counts.put(item.key(), written));
            }
        }
    }

    /** Returns the era of the store that was listed. */
    StoreEra era() {
        return era;
    }

    /** Returns the counts of all processes, by key. */
    Map<StoreKey, WindowCounts> counts() {
        return counts;
    }

    /** Returns the last counts of each VM, which are those of its last process. */
    Collection<WindowCounts> newestByVm() {
        Map<String, WindowCounts> newest = new HashMap<>();
        counts.forEach((key, written) -> newest.merge(
                GatewayStoreKeys.vmOfUsageCounts(key),
                written,
                (left, right) -> left.writtenIn() >= right.writtenIn() ? left : right));
        return newest.values();
    }

    /** Returns the sealed counts of a window that were written in the era of the listing. */
    Optional<SealedCounts> sealedCounts(long window) {
        return read(GatewayStoreKeys.sealedWindow(window), SealedCounts.class)
                .filter(counts -> counts.era().equals(era));
    }

    /** Returns the first window that may be sealed; empty if none was written in the era of the listing. */
    Optional<Long> firstWindow() {
        return read(GatewayStoreKeys.SEALING_START, SealingStart.class)
                .filter(start -> start.era().equals(era))
                .map(SealingStart::firstWindow);
    }

    /** Returns whether windows were sealed in an era before that of the listing. */
    boolean hasFormerStart() {
        return read(GatewayStoreKeys.SEALING_START, SealingStart.class)
                .filter(start -> !start.era().equals(era))
                .isPresent();
    }

    /** Returns the revision of an item; {@link StoreRevision#ABSENT} if it is not listed. */
    StoreRevision revision(StoreKey key) {
        StoreItem item = items.get(key);
        return item == null ? StoreRevision.ABSENT : item.versioned().revision();
    }

    /** Returns the keys that are listed. */
    Collection<StoreKey> keys() {
        return items.keySet();
    }

    /** Returns the newest window of the counts or of the sealed window under a key; empty if it holds none. */
    Optional<Long> newestWindow(StoreKey key) {
        if (GatewayStoreKeys.isSealedWindow(key)) {
            return Optional.of(GatewayStoreKeys.windowOfSealed(key));
        }
        return Optional.ofNullable(counts.get(key))
                .flatMap(written -> written.byWindow().keySet().stream().max(Long::compare));
    }

    private <T> Optional<T> read(StoreKey key, Class<T> type) {
        return Optional.ofNullable(items.get(key)).flatMap(item -> decode(item, type));
    }

    private static <T> Optional<T> decode(StoreItem item, Class<T> type) {
        try {
            return Optional.of(WireFormat.decode(item.value(), type));
        } catch (IOException unreadable) {
            LOG.error("usage_unreadable", unreadable, EventField.of("key", item.key()));
            return Optional.empty();
        }
    }
}
