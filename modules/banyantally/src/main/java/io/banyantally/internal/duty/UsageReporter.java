package io.banyantally.internal.duty;

import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ClientAccountId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.DutyHolder;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.UsageWindowSink;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

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

    private static final EventLog LOG = EventLog.of(UsageReporter.class);

    private final CoordinationStore store;
    private final Supplier<StoreEra> era;
    private final UsageLedger ledger;
    private final UsageSealer sealer;
    private final UsageWindowSink sink;
    private final StoreHealth health;
    private final Duration reportDeadline;
    private final DutyCallLog log = new DutyCallLog(LOG, MonotonicClock.SYSTEM);
    private final ReportedWindows reported;
    private final Set<Long> reportedWindows = new HashSet<>();

    /**
     * Creates a reporter.
     *
     * @param era returns the newest era of the store that is known
     * @param reportDeadline how long after its end a window may still be reported
     * @param reported the newest window that any VM has reported, as far as this VM knows
     */
    public UsageReporter(
            CoordinationStore store,
            Supplier<StoreEra> era,
            UsageLedger ledger,
            UsageWindowSink sink,
            StoreHealth health,
            Duration reportDeadline,
            ReportedWindows reported) {
        this.store = store;
        this.era = era;
        this.ledger = ledger;
        this.sealer = new UsageSealer(store, ledger, health, reported);
        this.sink = sink;
        this.health = health;
        this.reportDeadline = reportDeadline;
        this.reported = reported;
    }

    /** Reports the windows whose counts are final and that are not reported yet, while the holder may act. */
    public void run(DutyHolder holder) throws InterruptedException {
        Set<Long> pending = pendingWindows();
        if (pending.isEmpty()) {
            return;
        }
        try {
            UsageListing listing = list();
            Optional<Long> firstWindow = sealer.firstWindow(listing);
            for (long window : pending) {
                Optional<SealedCounts> sealed = sealer.find(window, listing);
                boolean maySeal = firstWindow.isPresent() && window >= firstWindow.get();
                if (sealed.isEmpty() && maySeal && isReadyToSeal(window, listing)) {
                    sealed = sealer.seal(window, listing);
                }
                boolean current = sealed.isPresent() && sealed.get().era().equals(era.get());
                if (current && holder.permission().isGranted()) {
                    report(holder, window, sealed.get().counts());
                }
            }
        } catch (StoreException failure) {
            health.failed("gather usage", failure);
        }
    }

    /**
     * Writes the sealed windows again that this VM knows from an era of the store that has ended, also if it no longer
     * holds the duties. Another VM must not seal them with other counts, and can't report them otherwise.
     */
    public void restoreSealed() {
        if (!sealer.knowsSealedBefore(era.get(), reportDeadline)) {
            return;
        }
        try {
            UsageListing listing = list();
            sealer.firstWindow(listing);
            windowsBeforeDeadline().forEach(window -> sealer.find(window, listing));
        } catch (StoreException failure) {
            health.failed("restore usage", failure);
        }
    }

    private UsageListing list() throws StoreException {
        UsageListing listing = new UsageListing(store.list(GatewayStoreKeys.USAGE_PREFIX));
        health.answered();
        return listing;
    }

    private Set<Long> pendingWindows() {
        Set<Long> pending = windowsBeforeDeadline();
        pending.removeIf(
                window -> ledger.sinceEnd(window).compareTo(SETTLE_TIME) < 0 || reportedWindows.contains(window));
        reportedWindows.removeIf(window -> ledger.sinceEnd(window).compareTo(UsageSealer.RETENTION) > 0);
        return pending;
    }

    /** Returns the windows that have ended and may still be reported. */
    private Set<Long> windowsBeforeDeadline() {
        Set<Long> windows = new TreeSet<>();
        for (long window = ledger.currentWindow() - 1;
                ledger.sinceEnd(window).compareTo(reportDeadline) < 0;
                window--) {
            windows.add(window);
        }
        return windows;
    }

    /**
     * Returns whether all VMs have published their final counts, or it is too late to wait for a disconnected one. A VM
     * whose process has ended is not waited for once its next process publishes.
     */
    private boolean isReadyToSeal(long window, UsageListing listing) {
        if (ledger.sinceEnd(window).compareTo(reportDeadline.minus(REPORT_MARGIN)) >= 0) {
            return true;
        }
        return listing.newestByVm().stream()
                .noneMatch(last -> !last.closed() && last.writtenIn() <= window && last.writtenIn() >= window - 1);
    }

    private void report(DutyHolder holder, long window, Map<ClientAccountId, Long> counts) throws InterruptedException {
        DutyCallLog.Entry line =
                log.begin("usage_reported", holder, ledger.sinceEnd(window), EventField.of("window", window));
        EventField[] details = {
            EventField.of("accounts", counts.size()),
            EventField.of(
                    "requests",
                    counts.values().stream().mapToLong(Long::longValue).sum())
        };
        reported.record(window);
        try {
            sink.report(holder, window, counts);
            reportedWindows.add(window);
            line.answered("accepted", details);
        } catch (PlatformException failure) {
            // The sealed counts remain, so a later attempt repeats the same report.
            line.warnFailed("usage_report_failed", failure, details);
        }
    }
}
