package io.banyantally.internal.usage;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.WindowStore.StoredOpenWindow;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.UsageReportSink;
import java.time.Duration;
import java.util.Optional;

/**
 * Seals and reports the windows of a bucket for one owner of its scope. Each pass can start from any intermediate
 * state: if a pass does not learn the outcome of a write, the next pass reads it from the store.
 */
final class BucketSealer {

    private final Authority authority;
    private final int bucket;
    private final Duration windowLength;
    private final WindowStore windows;
    private final UsageGatherer gatherer;
    private final WindowReporter reporter;
    private final MonotonicClock clock;
    private final Invariants invariants;
    private final Timeline timeline;
    private Optional<StoredOpenWindow> openWindow = Optional.empty();
    private boolean openWindowIsSealed;
    private long openedAtNanos;
    private long lastOpenedWindow;
    private long reportedThrough;

    BucketSealer(
            Authority authority,
            int bucket,
            Duration windowLength,
            KeyValueStore store,
            UsageGatherer gatherer,
            UsageReportSink sink,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        this.authority = authority;
        this.bucket = bucket;
        this.windowLength = windowLength;
        this.windows = new WindowStore(store, bucket);
        this.gatherer = gatherer;
        this.reporter = new WindowReporter(sink, invariants);
        this.clock = clock;
        this.invariants = invariants;
        this.timeline = timeline;
    }

    /**
     * Takes the bucket over if necessary, seals the open window when it is due and reports the sealed windows until the
     * platform fails to accept one.
     *
     * @return whether this owner continues; false once a later owner was found or an invariant was violated
     */
    boolean runPass() throws InterruptedException {
        try {
            if (openWindow.isEmpty() && !takeOver()) {
                return false;
            }
            if (isDue()) {
                sealAndOpenNext();
            }
        } catch (StoreException failed) {
            // The next pass reads back whether the failed write took effect.
            openWindow = Optional.empty();
        } catch (InvariantViolationException violated) {
            return false;
        }
        return reportSealed();
    }

    private boolean takeOver() throws StoreException {
        long fencingNumber = authority.fencingNumber().value();
        Optional<StoredOpenWindow> stored = windows.readOpen();
        if (stored.isPresent() && stored.get().open().fencingNumber() > fencingNumber) {
            return false;
        }
        if (!authority.isGranted()) {
            return true;
        }
        StoredOpenWindow current;
        if (stored.isPresent() && stored.get().open().fencingNumber() == fencingNumber) {
            current = stored.get();
        } else {
            OpenWindow next = stored.map(found -> found.open().withFencingNumber(fencingNumber))
                    .orElse(new OpenWindow(1, 0, fencingNumber));
            current = windows.writeOpen(
                    next, stored.map(StoredOpenWindow::revision).orElse(StoreRevision.ABSENT));
        }
        setOpenWindow(current);
        // An earlier owner, or an earlier pass whose store reply was lost, may have sealed it without opening the next.
        openWindowIsSealed = windows.readSealed(current.open().window()).isPresent();
        return true;
    }

    private void setOpenWindow(StoredOpenWindow current) {
        openWindow = Optional.of(current);
        reportedThrough = Math.max(reportedThrough, current.open().reportedThrough());
        if (lastOpenedWindow != current.open().window()) {
            lastOpenedWindow = current.open().window();
            openedAtNanos = clock.nanoTime();
        }
    }

    private boolean isDue() {
        return openWindow.isPresent()
                && (openWindowIsSealed || clock.since(openedAtNanos).compareTo(windowLength) >= 0);
    }

    private void sealAndOpenNext() throws StoreException, InvariantViolationException, InterruptedException {
        StoredOpenWindow current = openWindow.orElseThrow();
        long window = current.open().window();
        if (!openWindowIsSealed) {
            seal(window);
        }
        if (!authority.isGranted()) {
            return;
        }
        setOpenWindow(windows.writeOpen(current.open().next(reportedThrough), current.revision()));
        openWindowIsSealed = false;
    }

    private void seal(long window) throws StoreException, InvariantViolationException, InterruptedException {
        SealedWindow previous = windows.requireSealed(window - 1);
        GatheredCounters gathered = gatherer.gather(bucket, window, previous.answered());
        SealedWindow next = WindowSealing.seal(previous, gathered, windows::requireSealed);
        if (!authority.isGranted()) {
            openWindow = Optional.empty();
            throw new StoreUnavailableException(
                    "the authority for " + authority.scope() + " ended before window " + window + " was sealed");
        }
        invariants.require(
                Promise.SINGLE_USAGE_REPORT,
                next.window() == window && previous.window() == window - 1,
                () -> "window " + next.window() + " does not follow " + previous.window() + " of " + authority.scope());
        windows.writeSealed(next);
        timeline.record(
                EventKind.WINDOW_SEALED,
                EventField.of("bucket", bucket),
                EventField.of("window", window),
                EventField.of("accounts", next.figures().size()));
    }

    private boolean reportSealed() {
        if (openWindow.isEmpty()) {
            return true;
        }
        OpenWindow open = openWindow.get().open();
        try {
            while (reportedThrough + 1 < open.window() && authority.isGranted()) {
                SealedWindow sealed = windows.requireSealed(reportedThrough + 1);
                reporter.report(authority, sealed, open);
                if (!reporter.isComplete(sealed)) {
                    return true;
                }
                reportedThrough = sealed.window();
                timeline.record(
                        EventKind.WINDOW_REPORTED,
                        EventField.of("bucket", bucket),
                        EventField.of("window", sealed.window()));
            }
        } catch (PlatformException notTaken) {
            return true;
        } catch (InvariantViolationException violated) {
            return false;
        }
        return true;
    }
}
