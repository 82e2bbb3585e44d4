package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Seals the counts of windows in the store, each window once, also if the store comes back from an older copy in which
 * sealed windows are missing. Windows that ended before an era of the store began are then only sealed again with the
 * counts that a VM knows from the former era.
 */
final class UsageSealer {

    /** Sealed windows and counts of ended processes are deleted after this time. */
    static final Duration RETENTION = Duration.ofSeconds(60);

    /** Clocks of VMs differ by less than this. */
    static final Duration CLOCK_DIFFERENCE = Duration.ofSeconds(5);

    /** Limit of deletions in one transaction; the store accepts at most 32 entries. */
    private static final int MAXIMUM_DELETIONS_PER_TRANSACTION = 24;

    private static final EventLog LOG = EventLog.of(UsageSealer.class);

    private final CoordinationStore store;
    private final UsageLedger ledger;
    private final StoreHealth health;
    private final ReportedWindows reported;
    private final TreeMap<Long, SealedCounts> known = new TreeMap<>();
    private Optional<StoreEra> firstListed = Optional.empty();

    /** Creates a sealer that knows no sealed windows. */
    UsageSealer(CoordinationStore store, UsageLedger ledger, StoreHealth health, ReportedWindows reported) {
        this.store = store;
        this.ledger = ledger;
        this.health = health;
        this.reported = reported;
    }

    /** Returns whether a window was sealed here in an era before {@code era} and is not written in that one yet. */
    boolean knowsSealedBefore(StoreEra era, Duration maximumAge) {
        known.keySet().removeIf(this::isExpired);
        return known.values().stream()
                .anyMatch(counts -> counts.era().compareTo(era) < 0
                        && ledger.sinceEnd(counts.window()).compareTo(maximumAge) < 0);
    }

    /**
     * Returns the first window that may be sealed anew in the era of the listing, which is written if it is absent;
     * empty if another VM has just written it.
     */
    Optional<Long> firstWindow(UsageListing listing) throws StoreException {
        firstListed = Optional.of(firstListed.orElse(listing.era()));
        Optional<Long> written = listing.firstWindow();
        if (written.isPresent()) {
            return written;
        }
        SealingStart start = new SealingStart(listing.era(), firstUnreportedWindow(listing));
        StoreKey key = GatewayStoreKeys.SEALING_START;
        try {
            store.apply(putAt(key, listing.revision(key), WireFormat.encode(start)));
        } catch (RevisionConflictException writtenByAnother) {
            health.answered();
            return Optional.empty();
        }
        LOG.info(
                "usage_sealing_started",
                EventField.of("era", start.era()),
                EventField.of("first_window", start.firstWindow()));
        return Optional.of(start.firstWindow());
    }

    /** Returns the current window, or a later one after those that may have been reported in a former era. */
    private long firstUnreportedWindow(UsageListing listing) {
        OptionalLong newest = reported.newest();
        if (newest.isPresent()) {
            return Math.max(currentWindowOfVms(ledger.currentWindow(), listing), newest.getAsLong() + 1);
        }
        // A VM that was there in no former era may have missed the last reports, and the copy is older than they are.
        boolean mayHaveMissedReports =
                listing.hasFormerStart() && !listing.era().isAfter(firstListed.orElse(listing.era()));
        Duration margin = mayHaveMissedReports ? CLOCK_DIFFERENCE : Duration.ZERO;
        return currentWindowOfVms(ledger.windowIn(margin), listing);
    }

    /** Returns a window, or a later one if the clock of this VM is behind those of most VMs. */
    private long currentWindowOfVms(long own, UsageListing listing) {
        List<Long> others = listing.newestByVm().stream()
                .map(WindowCounts::writtenIn)
                .sorted()
                .toList();
        if (others.isEmpty()) {
            return own;
        }
        long median = others.get(others.size() / 2);
        return Math.clamp(own, median, median + RETENTION.dividedBy(ledger.window()));
    }

    /** Returns the sealed counts of a window, which are written again if this VM knows them and the store does not. */
    Optional<SealedCounts> find(long window, UsageListing listing) {
        Optional<SealedCounts> listed = listing.sealedCounts(window);
        SealedCounts former = known.get(window);
        if (listed.isEmpty()) {
            return former == null ? Optional.empty() : write(window, former.counts(), listing, List.of());
        }
        if (former != null && !former.counts().equals(listed.get().counts())) {
            LOG.warn(
                    "usage_sealed_twice",
                    EventField.of("window", window),
                    EventField.of("former_era", former.era()),
                    EventField.of("era", listing.era()));
            return Optional.empty();
        }
        known.put(window, listed.get());
        return listed;
    }

    /** Seals a window with the sum of all counts; empty if it is not known to be sealed with them. */
    Optional<SealedCounts> seal(long window, UsageListing listing) {
        boolean listed =
                !listing.revision(GatewayStoreKeys.sealedWindow(window)).equals(StoreRevision.ABSENT);
        if (listed || known.containsKey(window)) {
            return Optional.empty();
        }
        return write(window, sum(window, listing), listing, expiredKeys(listing));
    }

    private Optional<SealedCounts> write(
            long window, Map<ClientAccountId, Long> counts, UsageListing listing, List<StoreKey> expired) {
        SealedCounts sealed = new SealedCounts(listing.era(), window, counts);
        StoreTransaction seal = putAt(
                GatewayStoreKeys.sealedWindow(window),
                listing.revision(GatewayStoreKeys.sealedWindow(window)),
                WireFormat.encode(sealed));
        Optional<StoreTransaction> start = startAfter(expired, listing);
        try {
            StoreRevision revision =
                    store.apply(start.map(seal::and).orElse(seal).andDelete(expired));
            health.answered();
            if (revision.era().equals(sealed.era())) {
                known.put(window, sealed);
                return Optional.of(sealed);
            }
        } catch (RevisionConflictException sealedByAnother) {
            LOG.info("usage_sealed_by_another", EventField.of("window", window));
        } catch (StoreException failure) {
            health.failed("seal usage", failure);
        }
        return Optional.empty();
    }

    /**
     * Returns the write of a start of sealing after the sealed windows that are deleted; empty if it is there already. A
     * VM whose clock is far behind or ahead would otherwise seal a deleted window again.
     */
    private static Optional<StoreTransaction> startAfter(List<StoreKey> deleted, UsageListing listing) {
        OptionalLong newest = deleted.stream()
                .filter(GatewayStoreKeys::isSealedWindow)
                .mapToLong(GatewayStoreKeys::windowOfSealed)
                .max();
        long firstWindow = newest.isEmpty() ? Long.MIN_VALUE : newest.getAsLong() + 1;
        return listing.firstWindow()
                .filter(start -> start < firstWindow)
                .map(start -> putAt(
                        GatewayStoreKeys.SEALING_START,
                        listing.revision(GatewayStoreKeys.SEALING_START),
                        WireFormat.encode(new SealingStart(listing.era(), firstWindow))));
    }

    private static StoreTransaction putAt(StoreKey key, StoreRevision expected, byte[] value) {
        return new StoreTransaction(
                List.of(new StoreTransaction.Expectation(key, expected)),
                List.of(new StoreTransaction.Put(key, value, Optional.empty())),
                List.of());
    }

    private static Map<ClientAccountId, Long> sum(long window, UsageListing listing) {
        Map<ClientAccountId, Long> total = new HashMap<>();
        listing.counts()
                .values()
                .forEach(written ->
                        written.of(window).forEach((account, requests) -> total.merge(account, requests, Long::sum)));
        return total;
    }

    private List<StoreKey> expiredKeys(UsageListing listing) {
        return listing.keys().stream()
                .filter(key -> listing.newestWindow(key).stream().anyMatch(this::isExpired))
                .limit(MAXIMUM_DELETIONS_PER_TRANSACTION)
                .toList();
    }

    private boolean isExpired(long window) {
        return ledger.sinceEnd(window).compareTo(RETENTION) > 0;
    }
}
