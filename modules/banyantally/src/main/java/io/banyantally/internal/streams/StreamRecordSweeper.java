package io.banyantally.internal.streams;

import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Removes the records of streams that can no longer be taken up, while this VM holds the duties. */
public final class StreamRecordSweeper {

    /** How often to call {@link #run}; a record lasts for one to two intervals. */
    public static final Duration INTERVAL = StreamVersions.TAKE_UP_TIME.plusSeconds(10);

    /** The store takes at most 32 entries in one transaction. */
    private static final int MAXIMUM_DELETES = 32;

    private static final EventLog LOG = EventLog.of(StreamRecordSweeper.class);

    private final CoordinationStore store;
    private Optional<StoreRevision> previous = Optional.empty();

    StreamRecordSweeper(CoordinationStore store) {
        this.store = store;
    }

    /** Removes the records that were there at the last call already. */
    public void run() {
        try {
            StoreListing listing = store.list(StreamStoreKeys.RECORDS_PREFIX);
            List<StoreKey> old = listing.items().stream()
                    .filter(this::isOld)
                    .map(StoreItem::key)
                    .toList();
            previous = Optional.of(listing.revision());
            for (int first = 0; first < old.size(); first += MAXIMUM_DELETES) {
                store.apply(StoreTransaction.delete(old.subList(first, Math.min(old.size(), first + MAXIMUM_DELETES))));
            }
        } catch (StoreException failure) {
            LOG.warn("stream_records_not_removed", EventField.of("reason", failure.getMessage()));
        }
    }

    private boolean isOld(StoreItem item) {
        StoreRevision written = item.versioned().revision();
        return previous.isPresent() && written.era().equals(previous.get().era()) && !written.isAfter(previous.get());
    }
}
