package io.banyantally.internal.deployment;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/** Keeps the entry of this VM in the store, under a lease, while it accepts callers. */
public final class MemberPresence {

    /** How long the entry of a crashed VM remains; callers try other addresses meanwhile. */
    static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);

    /** Three renewals per time to live, so that a single lost call does not let the lease expire. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(MemberPresence.class);

    private final CoordinationStore store;
    private final Supplier<StoreEra> era;
    private final MemberEntry entry;
    private final StoreHealth health;
    private Optional<LeaseId> lease = Optional.empty();
    private Optional<StoreRevision> published = Optional.empty();
    private Optional<StoreEra> removedIn = Optional.empty();
    private boolean withdrawn;

    /**
     * Creates the presence; nothing is published before {@link #refresh}.
     *
     * @param era returns the newest era of the store that is known
     */
    public MemberPresence(CoordinationStore store, Supplier<StoreEra> era, MemberEntry entry, StoreHealth health) {
        this.store = store;
        this.era = era;
        this.entry = entry;
        this.health = health;
    }

    /**
     * Publishes the entry or renews its lease; after {@link #withdraw}, repeats a withdrawal that has failed, or that
     * the store has lost with its era.
     */
    public synchronized void refresh() {
        if (withdrawn) {
            remove();
            return;
        }
        try {
            if (lease.isEmpty() || !renew(lease.get())) {
                publish();
            }
            health.answered();
        } catch (LeaseLapsedException lapsed) {
            health.answered();
        } catch (StoreException failure) {
            health.failed("renew presence", failure);
        }
    }

    private boolean renew(LeaseId held) throws StoreException {
        try {
            store.renewLease(held);
            return true;
        } catch (LeaseLapsedException lapsed) {
            LOG.warn("presence_lapsed", EventField.of("lease", held));
            lease = Optional.empty();
            return false;
        }
    }

    private void publish() throws StoreException {
        LeaseId granted = store.grantLease(TIME_TO_LIVE);
        published = Optional.of(write(granted));
        lease = Optional.of(granted);
        LOG.info("presence_published", EventField.of("vm", entry.vm()), EventField.of("lease", granted));
    }

    /**
     * Writes the entry at its revision, so that an earlier attempt that the store applies late is refused then. It would
     * hold the entry by its own lease, which nobody renews.
     */
    private StoreRevision write(LeaseId granted) throws StoreException {
        StoreKey key = GatewayStoreKeys.member(entry.vm());
        byte[] value = WireFormat.encode(entry);
        try {
            return store.apply(StoreTransaction.create(key, value, Optional.of(granted)));
        } catch (RevisionConflictException existing) {
            return store.apply(StoreTransaction.replace(key, existing.currentRevision(), value, Optional.of(granted)));
        }
    }

    /** Removes the entry permanently, unless another process of the VM has overwritten it. */
    public synchronized void withdraw() {
        withdrawn = true;
        remove();
    }

    private void remove() {
        if (published.isEmpty() || isRemoved()) {
            return;
        }
        try {
            StoreRevision removal =
                    store.apply(StoreTransaction.delete(GatewayStoreKeys.member(entry.vm()), published.get()));
            removedIn = Optional.of(removal.era());
            LOG.info("presence_withdrawn", EventField.of("vm", entry.vm()));
        } catch (RevisionConflictException replaced) {
            removedIn = Optional.of(replaced.currentRevision().era());
            LOG.info("presence_replaced", EventField.of("vm", entry.vm()), EventField.of("revision", published.get()));
        } catch (StoreException failure) {
            LOG.warn("presence_not_withdrawn", EventField.of("reason", failure.getMessage()));
        }
    }

    /** Returns whether the entry is removed; a store that comes back from an older copy may have it again. */
    private boolean isRemoved() {
        return removedIn.isPresent() && !era.get().isAfter(removedIn.get());
    }
}
