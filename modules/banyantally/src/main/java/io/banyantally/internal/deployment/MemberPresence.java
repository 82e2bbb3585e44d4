package io.banyantally.internal.deployment;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.Optional;

/** Keeps this VM's entry in the store while it takes callers. */
public final class MemberPresence {

    /** How long the entry of a dead VM stays; callers try other addresses meanwhile. */
    static final Duration TIME_TO_LIVE = Duration.ofSeconds(3);

    /** Three renewals in each time to live, so that one lost call does not end the lease. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(MemberPresence.class);

    private final CoordinationStore store;
    private final MemberEntry entry;
    private final StoreHealth health;
    private Optional<LeaseId> lease = Optional.empty();
    private Optional<StoreRevision> published = Optional.empty();
    private boolean withdrawn;

    /** Creates the presence of a VM that is not listed yet. */
    public MemberPresence(CoordinationStore store, MemberEntry entry, StoreHealth health) {
        this.store = store;
        this.entry = entry;
        this.health = health;
    }

    /** Publishes the entry or renews its lease; once withdrawn, repeats a withdrawal that has not come through. */
    public synchronized void refresh() {
        if (withdrawn) {
            remove();
            return;
        }
        try {
            if (lease.isPresent()) {
                store.renewLease(lease.get());
            } else {
                LeaseId granted = store.grantLease(TIME_TO_LIVE);
                published = Optional.of(store.apply(StoreTransaction.put(
                        GatewayStoreKeys.member(entry.vm()), WireFormat.encode(entry), Optional.of(granted))));
                lease = Optional.of(granted);
                LOG.info("presence_published", EventField.of("vm", entry.vm()), EventField.of("lease", granted));
            }
            health.answered();
        } catch (LeaseLapsedException lapsed) {
            LOG.warn(
                    "presence_lapsed",
                    EventField.of("lease", lease.map(LeaseId::toString).orElse("none")));
            lease = Optional.empty();
        } catch (StoreException failure) {
            health.failed("renew presence", failure);
        }
    }

    /** Removes the entry for good, unless another process of the VM has written it since. */
    public synchronized void withdraw() {
        withdrawn = true;
        remove();
    }

    private void remove() {
        if (published.isEmpty()) {
            return;
        }
        try {
            store.apply(StoreTransaction.delete(GatewayStoreKeys.member(entry.vm()), published.get()));
            LOG.info("presence_withdrawn", EventField.of("vm", entry.vm()));
            published = Optional.empty();
        } catch (RevisionConflictException replaced) {
            LOG.info("presence_replaced", EventField.of("vm", entry.vm()), EventField.of("revision", published.get()));
            published = Optional.empty();
        } catch (StoreException failure) {
            LOG.warn("presence_not_withdrawn", EventField.of("reason", failure.getMessage()));
        }
    }
}
