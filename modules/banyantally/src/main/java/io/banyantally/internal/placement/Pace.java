package io.banyantally.internal.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * How long work takes at one upstream, against the usual time, as the upstream reports it. The figure changes many times
 * a second, so an older report says less, and work is taken to need the usual time again.
 */
public final class Pace {

    /** The age at which a report has lost two thirds of its weight; reports of other VMs are up to 300 ms old. */
    private static final Duration FADING_TIME = Duration.ofMillis(500);

    /** Older reports are not told to other VMs. */
    private static final Duration RECENT = Duration.ofSeconds(1);

    private static final double USUAL_PERCENT = 100;

    /** Smaller differences from the usual time are not told to other VMs, to keep their messages small. */
    private static final int MINIMUM_DIFFERENCE_PERCENT = 25;

    private Optional<Report> last = Optional.empty();
    private Optional<Report> own = Optional.empty();

    Pace() {}

    void record(int percent, long now) {
        own = Optional.of(new Report(percent, now));
        recordOfPeer(own.get());
    }

    /** Records a report that another VM has got, unless a later one is known. */
    void recordOfPeer(Report report) {
        if (last.isEmpty() || report.at() - last.get().at() > 0) {
            last = Optional.of(report);
        }
    }

    /** Returns the time that work takes now divided by the usual time; 1 if the upstream does not report it. */
    double factor(long now) {
        if (last.isEmpty()) {
            return 1;
        }
        double weight = Math.exp(-(now - last.get().at()) / (double) FADING_TIME.toNanos());
        return 1 + (last.get().percent() / USUAL_PERCENT - 1) * weight;
    }

    /** Returns the last report of any VM; empty if it is old, or if work takes about the usual time. */
    Optional<Report> notable(long now) {
        return last.filter(report -> isNotable(report, now));
    }

    /** Returns the last report that this VM has got; empty if it is old, or if work takes about the usual time. */
    Optional<Report> ownNotable(long now) {
        return own.filter(report -> isNotable(report, now));
    }

    private static boolean isNotable(Report report, long now) {
        return now - report.at() < RECENT.toNanos()
                && Math.abs(report.percent() - USUAL_PERCENT) >= MINIMUM_DIFFERENCE_PERCENT;
    }

    /**
     * What an upstream has reported.
     *
     * @param percent the time that work takes there, in percent of the usual time
     * @param at the monotonic time of the report, in nanoseconds
     */
    public record Report(int percent, long at) {}
}
