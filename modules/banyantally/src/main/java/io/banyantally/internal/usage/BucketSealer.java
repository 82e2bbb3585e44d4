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
 * The work of one owner of a bucket in passes that can be repeated from any step: whatever a pass did not learn, the next
 * one reads from the store.
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
    private Optional<StoredOpenWindow> held = Optional.empty();
    private boolean sealedBefore;
    private long openedAt;
    private long openedWindow;
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
     * Takes over, seals the window when it is due and reports what is sealed, as far as the platform lets it.
     *
     * @return whether this owner is to go on; false after a later owner was seen
     */
    boolean pass() throws InterruptedException {
        try {
            if (held.isEmpty() && !takeOver()) {
                return false;
            }
            if (isDue()) {
                sealAndOpenNext();
            }
        } catch (StoreException failed) {
            // What the failed write did is read back by the next pass.
            held = Optional.empty();
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
        StoredOpenWindow own;
        if (stored.isPresent() && stored.get().open().fencingNumber() == fencingNumber) {
            own = stored.get();
        } else {
            OpenWindow next = stored.map(found -> found.open().ownedBy(fencingNumber))
                    .orElse(new OpenWindow(1, 0, fencingNumber));
            own = windows.writeOpen(next, stored.map(StoredOpenWindow::revision).orElse(StoreRevision.ABSENT));
        }
        hold(own);
        // An earlier owner, or an earlier pass whose answer was lost, may have sealed it without opening the next.
        sealedBefore = windows.readSealed(own.open().window()).isPresent();
        return true;
    }

    private void hold(StoredOpenWindow own) {
        held = Optional.of(own);
        reportedThrough = Math.max(reportedThrough, own.open().reportedThrough());
        if (openedWindow != own.open().window()) {
            openedWindow = own.open().window();
            openedAt = clock.nanoTime();
        }
    }

    private boolean isDue() {
        return held.isPresent() && (sealedBefore || clock.since(openedAt).compareTo(windowLength) >= 0);
    }

    private void sealAndOpenNext() throws StoreException, InvariantViolationException, InterruptedException {
        StoredOpenWindow own = held.orElseThrow();
        long window = own.open().window();
        if (!sealedBefore) {
            seal(window);
        }
        if (!authority.isGranted()) {
            return;
        }
        hold(windows.writeOpen(own.open().next(reportedThrough), own.revision()));
        sealedBefore = false;
    }

    private void seal(long window) throws StoreException, InvariantViolationException, InterruptedException {
        SealedWindow previous = windows.requireSealed(window - 1);
        Gathered gathered = gatherer.gather(bucket, window, previous.answered());
        SealedWindow next = WindowSealing.seal(previous, gathered, windows::requireSealed);
        if (!authority.isGranted()) {
            held = Optional.empty();
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
        if (held.isEmpty()) {
            return true;
        }
        OpenWindow open = held.get().open();
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
