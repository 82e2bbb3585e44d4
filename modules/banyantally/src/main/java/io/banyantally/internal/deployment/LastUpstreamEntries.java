package io.banyantally.internal.deployment;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.StoreEra;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The last entry of each upstream, also of those that are gone. A write that got no answer may be applied seconds later,
 * so the newest revision of a key is not always the upstream's newest entry.
 */
final class LastUpstreamEntries {

    /** Far more than the upstreams that leave while one of their writes may still be applied. */
    private static final int MAXIMUM_UPSTREAMS = 10_000;

    private final Map<UpstreamId, Last> lastById = new LinkedHashMap<>();

    /**
     * Returns whether the upstream wrote an entry before the last one that is known of it, or another writer wrote it.
     *
     * @param era the era of the store that has the entry; it may be from a copy that is older than the last one known
     */
    boolean isOutdated(ReplicaEntry entry, StoreEra era) {
        Last last = lastById.get(entry.id());
        if (last == null) {
            return false;
        }
        ReplicaEntry former = last.entry();
        if (former.startedAtMillis().isPresent() && entry.startedAtMillis().isEmpty()) {
            return true;
        }
        if (!former.startedAtMillis().equals(entry.startedAtMillis())) {
            return (former.draining() || last.gone() || era.isAfter(last.era()))
                    && isBefore(entry.startedAtMillis(), former.startedAtMillis(), false);
        }
        return (former.draining() && !entry.draining()) || isBefore(entry.sequence(), former.sequence(), last.gone());
    }

    private static boolean isBefore(OptionalLong number, OptionalLong former, boolean orEqual) {
        return number.isPresent()
                && former.isPresent()
                && (number.getAsLong() < former.getAsLong() || (orEqual && number.equals(former)));
    }

    /** Records an entry that is in the store. */
    void present(ReplicaEntry entry, StoreEra era) {
        put(new Last(entry, era, false));
    }

    /** Records that an entry is no longer in the store; its upstream returns with a later one, if at all. */
    void gone(ReplicaEntry entry) {
        Last last = lastById.get(entry.id());
        put(new Last(entry, last == null ? StoreEra.UNKNOWN : last.era(), true));
    }

    private void put(Last last) {
        // Removed first, so that the entries that were recorded longest ago are dropped first.
        lastById.remove(last.entry().id());
        lastById.put(last.entry().id(), last);
        if (lastById.size() > MAXIMUM_UPSTREAMS) {
            lastById.remove(lastById.keySet().iterator().next());
        }
    }

    private record Last(ReplicaEntry entry, StoreEra era, boolean gone) {}
}
