package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.UsageWindowSink;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reports usage windows on behalf of all VMs. The counts of a window are sealed in the store before their first report,
 * so that every report of the window carries the same counts, whichever VM sends it.
 */
public final class UsageReporter {

    /** How often to call {@link #run}. */
    public static final Duration INTERVAL = Duration.ofMillis(500);

    /** Time from the end of a window until all VMs have published its counts: one interval and two calls. */
    static final Duration SETTLE_TIME = UsagePublisher.MAXIMUM_INTERVAL.plusMillis(900);

    /**
     * How long before the report deadline to stop waiting for the counts of an unresponsive VM. The store or the
     * receiver may be unavailable for seconds and a late report is worthless, while a VM that has crashed publishes no
     * more counts.
     */
    static final Duration REPORT_MARGIN = Duration.ofSeconds(4);

    /** Sealed windows and counts of ended processes are deleted after this time. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** Limit of deletions in one transaction; the store accepts at most 32 entries. */
    private static final int MAXIMUM_DELETIONS_PER_TRANSACTION = 24;

    private static final EventLog LOG = EventLog.of(UsageReporter.class);

    private final CoordinationStore store;
    private final UsageLedger ledger;
    private final UsageWindowSink sink;
    private final StoreHealth health;
    private final Duration reportDeadline;
    private final Set<Long> reportedWindows = new HashSet<>();

    /**
     * Creates a reporter.
     *
     * @param reportDeadline how long after its end a window may still be reported
     */
    public UsageReporter(
            CoordinationStore store,
            UsageLedger ledger,
            UsageWindowSink sink,
            StoreHealth health,
            Duration reportDeadline) {
        this.store = store;
        this.ledger = ledger;
        this.sink = sink;
        this.health = health;
        this.reportDeadline = reportDeadline;
    }

    /** Reports the windows whose counts are final and that are not reported yet, while the holder may act. */
    public void run(DutyHolder holder) throws InterruptedException {
        Set<Long> pending = pendingWindows();
        if (pending.isEmpty()) {
            return;
        }
        try {
            StoreListing listing = store.list(GatewayStoreKeys.USAGE_PREFIX);
            health.answered();
            Map<StoreKey, WindowCounts> counts = decodeCounts(listing);
            for (long window : pending) {
                Optional<SealedCounts> sealed = findSealed(window, listing);
                if (sealed.isEmpty() && isReadyToSeal(window, counts)) {
                    sealed = seal(window, listing, counts);
                }
                if (sealed.isPresent() && holder.permission().isGranted()) {
                    report(holder, window, sealed.get().counts());
                }
            }
        } catch (StoreException failure) {
            health.failed("gather usage", failure);
        }
    }

    private Set<Long> pendingWindows() {
        Set<Long> pending = new TreeSet<>();
        for (long window = ledger.currentWindow() - 1;
                ledger.sinceEnd(window).compareTo(reportDeadline) < 0;
                window--) {
            if (ledger.sinceEnd(window).compareTo(SETTLE_TIME) >= 0 && !reportedWindows.contains(window)) {
                pending.add(window);
            }
        }
        reportedWindows.removeIf(window -> ledger.sinceEnd(window).compareTo(RETENTION) > 0);
        return pending;
    }

    /**
     * Returns whether all VMs have published their final counts, or it is too late to wait for a disconnected one. A VM
     * whose process has ended is not waited for once its next process publishes.
     */
    private boolean isReadyToSeal(long window, Map<StoreKey, WindowCounts> counts) {
        if (ledger.sinceEnd(window).compareTo(reportDeadline.minus(REPORT_MARGIN)) >= 0) {
            return true;
        }
        Map<String, WindowCounts> newest = new HashMap<>();
        counts.forEach((key, written) -> newest.merge(
                GatewayStoreKeys.vmOfUsageCounts(key),
                written,
                (left, right) -> left.writtenIn() >= right.writtenIn() ? left : right));
        return newest.values().stream()
                .noneMatch(last -> !last.closed() && last.writtenIn() <= window && last.writtenIn() >= window - 1);
    }

    private void report(DutyHolder holder, long window, Map<ClientAccountId, Long> counts) throws InterruptedException {
        try {
            sink.report(holder, window, counts);
            reportedWindows.add(window);
            LOG.info(
                    "usage_reported",
                    EventField.of("window", window),
                    EventField.of("accounts", counts.size()),
                    EventField.of(
                            "requests",
                            counts.values().stream().mapToLong(Long::longValue).sum()),
                    EventField.of("fencing", holder.fencing()),
                    EventField.of("age_ms", ledger.sinceEnd(window).toMillis()));
        } catch (PlatformException failure) {
            // The sealed counts remain, so a later attempt repeats the same report.
            LOG.warn(
                    "usage_report_failed",
                    EventField.of("window", window),
                    EventField.of("reason", failure.getMessage()));
        }
    }

    private static Optional<SealedCounts> findSealed(long window, StoreListing listing) {
        StoreKey key = GatewayStoreKeys.sealedWindow(window);
        for (StoreItem item : listing.items()) {
            if (item.key().equals(key)) {
                try {
                    return Optional.of(WireFormat.decode(item.value(), SealedCounts.class));
                } catch (IOException unreadable) {
                    LOG.error("sealed_usage_unreadable", unreadable, EventField.of("key", key));
                }
            }
        }
        return Optional.empty();
    }

    private Optional<SealedCounts> seal(long window, StoreListing listing, Map<StoreKey, WindowCounts> counts) {
        SealedCounts sealed = new SealedCounts(window, sum(window, counts));
        StoreTransaction transaction = StoreTransaction.create(
                        GatewayStoreKeys.sealedWindow(window), WireFormat.encode(sealed), Optional.empty())
                .andDelete(expiredKeys(listing, counts));
        try {
            store.apply(transaction);
            health.answered();
            return Optional.of(sealed);
        } catch (RevisionConflictException sealedByAnother) {
            LOG.info("usage_sealed_by_another", EventField.of("window", window));
        } catch (StoreException failure) {
            health.failed("seal usage", failure);
        }
        return Optional.empty();
    }

    private static Map<ClientAccountId, Long> sum(long window, Map<StoreKey, WindowCounts> counts) {
        Map<ClientAccountId, Long> total = new HashMap<>();
        counts.values()
                .forEach(written ->
                        written.of(window).forEach((account, requests) -> total.merge(account, requests, Long::sum)));
        return total;
    }

    private List<StoreKey> expiredKeys(StoreListing listing, Map<StoreKey, WindowCounts> counts) {
        return listing.items().stream()
                .map(StoreItem::key)
                .filter(key -> newestWindow(key, counts).stream().anyMatch(this::isExpired))
                .limit(MAXIMUM_DELETIONS_PER_TRANSACTION)
                .toList();
    }

    private boolean isExpired(long window) {
        return ledger.sinceEnd(window).compareTo(RETENTION) > 0;
    }

    private static Optional<Long> newestWindow(StoreKey key, Map<StoreKey, WindowCounts> counts) {
        if (GatewayStoreKeys.isSealedWindow(key)) {
            String path = key.path();
            return Optional.of(Long.parseLong(path.substring(path.lastIndexOf('/') + 1)));
        }
        return Optional.ofNullable(counts.get(key))
                .flatMap(written -> written.byWindow().keySet().stream().max(Long::compare));
    }

    /** Decodes the counts of all processes; those that cannot be read are left out. */
    private static Map<StoreKey, WindowCounts> decodeCounts(StoreListing listing) {
        Map<StoreKey, WindowCounts> counts = new HashMap<>();
        for (StoreItem item : listing.items()) {
            if (!GatewayStoreKeys.isUsageCounts(item.key())) {
                continue;
            }
            try {
                counts.put(item.key(), WireFormat.decode(item.value(), WindowCounts.class));
            } catch (IOException unreadable) {
                LOG.error("usage_counts_unreadable", unreadable, EventField.of("key", item.key()));
            }
        }
        return counts;
    }
}
