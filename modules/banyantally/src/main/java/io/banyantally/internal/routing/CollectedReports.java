package io.banyantally.internal.routing;

import io.banyantally.internal.routing.HoldReport.HeldWork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.Incarnation;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What other VMs said of the holds that they keep, directly or through a peer. */
final class CollectedReports {

    /** A VM that was heard within this time may send work, even if no list names it yet. */
    static final Duration SENDER_MEMORY = Duration.ofSeconds(10);

    /** Only what a VM itself said within this time is passed on. */
    static final Duration PASSED_ON = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Map<VmId, Collected> reports = new HashMap<>();

    private static final class Collected {
        private final String incarnation;
        private final Map<HoldKey, HeldWork> held = new HashMap<>();
        private HoldReport last;
        private long heardAt;
        private long heardDirectlyAt;
        private boolean direct;

        Collected(String incarnation) {
            this.incarnation = incarnation;
        }
    }

    CollectedReports(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void take(HoldReport report, boolean direct) {
        long now = clock.nanoTime();
        VmId vm = new VmId(report.vm());
        Collected known = reports.get(vm);
        if (known == null || !known.incarnation.equals(report.incarnation())) {
            if (known != null && !direct && isWithin(known.heardAt, PASSED_ON, now)) {
                // Which life of the VM is the later one is only clear from what it says itself.
                return;
            }
            known = new Collected(report.incarnation());
            reports.put(vm, known);
        }
        known.heardAt = now;
        if (direct) {
            known.direct = true;
            known.heardDirectlyAt = now;
            known.last = report;
        }
        for (HeldWork work : report.held()) {
            known.held.merge(new HoldKey(work.scope(), new UpstreamId(work.upstream())), work, CollectedReports::later);
        }
    }

    private static HeldWork later(HeldWork one, HeldWork other) {
        Hold oneWord = new Hold(one.fencingNumber(), one.sequence(), true, 0);
        Hold otherWord = new Hold(other.fencingNumber(), other.sequence(), true, 0);
        if (oneWord.isAfter(otherWord)) {
            return one;
        }
        boolean same = !otherWord.isAfter(oneWord);
        // Work at a held upstream only ends, so of two reports on the same word the lower number is the later one.
        return same && one.running() < other.running() ? one : other;
    }

    /** Returns what a VM said last of a hold, or null. */
    synchronized HeldWork held(VmId vm, HoldKey key) {
        Collected known = reports.get(vm);
        return known == null ? null : known.held.get(key);
    }

    /** Returns whether the reports of a VM come from another life of it. */
    synchronized boolean isOfAnotherLife(VmId vm, Incarnation incarnation) {
        Collected known = reports.get(vm);
        return known != null && !known.incarnation.equals(incarnation.toString());
    }

    /** Returns the VMs that were heard of lately, and forgets the others. */
    synchronized Set<VmId> recentSenders() {
        long now = clock.nanoTime();
        reports.values().removeIf(known -> !isWithin(known.heardAt, SENDER_MEMORY, now));
        return new HashSet<>(reports.keySet());
    }

    synchronized List<HoldReport> toPassOn() {
        long now = clock.nanoTime();
        return reports.values().stream()
                .filter(known -> known.direct && isWithin(known.heardDirectlyAt, PASSED_ON, now))
                .map(known -> known.last)
                .toList();
    }

    private static boolean isWithin(long at, Duration limit, long now) {
        return now - at <= limit.toNanos();
    }
}
