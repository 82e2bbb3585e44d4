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

/** The hold reports of other VMs, received from them directly or forwarded by a peer. */
final class PeerHoldReports {

    /** A VM whose report was received within this time may send work, even if the platform does not list it yet. */
    static final Duration SENDER_RETENTION = Duration.ofSeconds(10);

    /** Only reports that were received from their VM directly and within this time are forwarded. */
    static final Duration MAXIMUM_FORWARDING_AGE = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final Map<VmId, VmReports> reports = new HashMap<>();

    private static final class VmReports {
        private final String incarnation;
        private final Map<HoldKey, HeldWork> held = new HashMap<>();
        private HoldReport lastDirectReport;
        private long receivedAt;
        private long receivedDirectlyAt;
        private boolean receivedDirectly;

        VmReports(String incarnation) {
            this.incarnation = incarnation;
        }
    }

    PeerHoldReports(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized void add(HoldReport report, boolean direct) {
        long now = clock.nanoTime();
        VmId vm = new VmId(report.vm());
        VmReports known = reports.get(vm);
        if (known == null || !known.incarnation.equals(report.incarnation())) {
            if (known != null && !direct && isWithin(known.receivedAt, MAXIMUM_FORWARDING_AGE, now)) {
                // Only a direct report shows which incarnation of the VM is the present one.
                return;
            }
            known = new VmReports(report.incarnation());
            reports.put(vm, known);
        }
        known.receivedAt = now;
        if (direct) {
            known.receivedDirectly = true;
            known.receivedDirectlyAt = now;
            known.lastDirectReport = report;
        }
        for (HeldWork work : report.held()) {
            known.held.merge(
                    new HoldKey(work.scope(), new UpstreamId(work.upstream())), work, PeerHoldReports::laterOf);
        }
    }

    private static HeldWork laterOf(HeldWork one, HeldWork other) {
        Hold oneHold = new Hold(one.fencingNumber(), one.sequence(), true, 0);
        Hold otherHold = new Hold(other.fencingNumber(), other.sequence(), true, 0);
        if (oneHold.supersedes(otherHold)) {
            return one;
        }
        boolean same = !otherHold.supersedes(oneHold);
        // Running work at a held upstream only ends, so of two reports for the same sequence the lower number is newer.
        return same && one.running() < other.running() ? one : other;
    }

    /** Returns the latest report of a VM for a hold, or null. */
    synchronized HeldWork heldWork(VmId vm, HoldKey key) {
        VmReports known = reports.get(vm);
        return known == null ? null : known.held.get(key);
    }

    /** Returns whether the reports of a VM come from another incarnation of it. */
    synchronized boolean isFromOtherIncarnation(VmId vm, Incarnation incarnation) {
        VmReports known = reports.get(vm);
        return known != null && !known.incarnation.equals(incarnation.toString());
    }

    /** Returns the VMs with reports within {@link #SENDER_RETENTION}, and removes those of the others. */
    synchronized Set<VmId> recentSenders() {
        long now = clock.nanoTime();
        reports.values().removeIf(known -> !isWithin(known.receivedAt, SENDER_RETENTION, now));
        return new HashSet<>(reports.keySet());
    }

    synchronized List<HoldReport> reportsToForward() {
        long now = clock.nanoTime();
        return reports.values().stream()
                .filter(known ->
                        known.receivedDirectly && isWithin(known.receivedDirectlyAt, MAXIMUM_FORWARDING_AGE, now))
                .map(known -> known.lastDirectReport)
                .toList();
    }

    private static boolean isWithin(long at, Duration limit, long now) {
        return now - at <= limit.toNanos();
    }
}
