package io.banyantally.internal.orders;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UpstreamOrdering;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Reconciles the number of a scope's upstreams with its targets while this VM owns the scope, one call at a time. A
 * call with an unknown outcome is resolved before the next one: by its token if the platform honours tokens, otherwise
 * by a list that is read after the call can no longer take effect.
 */
final class UpstreamOrderExecutor {

    private final OwnedScope scope;
    private final ServiceName service;
    private final AvailabilityZone zone;
    private final OrderJournal journal;
    private final UpstreamOrdering ordering;
    private final UpstreamChangeListener listener;
    private final OrderEnvironment environment;
    private final OrderSettings settings;
    private final Map<UpstreamId, RecentOrder> recentOrders = new HashMap<>();
    private final Map<UpstreamId, Long> recentGiveBacks = new HashMap<>();
    private final Set<UpstreamId> announcedGiveBacks = new HashSet<>();
    private boolean unresolved;
    private boolean outcomeMayBeOpen;
    private long nextCallAt;
    private ScopeTargets lastTargets = ScopeTargets.NONE;
    private boolean targetsReached;
    private long nextListAt;

    UpstreamOrderExecutor(
            OwnedScope scope,
            ServiceName service,
            AvailabilityZone zone,
            OrderJournal journal,
            UpstreamOrdering ordering,
            UpstreamChangeListener listener,
            OrderEnvironment environment) {
        this.scope = scope;
        this.service = service;
        this.zone = zone;
        this.journal = journal;
        this.ordering = ordering;
        this.listener = listener;
        this.environment = environment;
        this.settings = environment.settings();
        this.unresolved = journal.upstream().isPresent();
        // The list may lag behind the orders of an earlier owner, even after a clean handover.
        this.nextCallAt = unresolved ? timeAfter(settings.maximumEffectDelay()) : now();
    }

    /** Lists the upstreams and, if their number differs from the targets, makes at most one call to change it. */
    void reconcile(ScopeTargets targets)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        if (now() - nextCallAt < 0 || !scope.isGranted()) {
            return;
        }
        if (targetsReached && targets.hasSameUpstreams(lastTargets) && now() - nextListAt < 0) {
            return;
        }
        lastTargets = targets;
        targetsReached = false;
        outcomeMayBeOpen = false;
        List<OrderedUpstream> listed;
        try {
            listed = ordering.list(service, zone);
        } catch (PlatformException unavailable) {
            nextCallAt = timeAfter(settings.retryDelay());
            return;
        }
        removeExpired(listed);
        if (unresolved && resolveRecordedCall(listed, targets)) {
            return;
        }
        boolean called = adjustCount(listed, targets, false) || adjustCount(listed, targets, true);
        targetsReached = !called && announcedGiveBacks.isEmpty() && recentOrders.isEmpty();
        nextListAt = timeAfter(settings.verifyInterval());
    }

    /** Returns whether the outcome of every call of this ownership is known or can no longer change. */
    boolean outcomesKnown() {
        return !outcomeMayBeOpen || now() - nextCallAt >= 0;
    }

    /** Determines from the list whether the recorded call took effect; returns whether it was sent again. */
    private boolean resolveRecordedCall(List<OrderedUpstream> listed, ScopeTargets targets)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        UpstreamIntent intent = journal.upstream().orElseThrow();
        unresolved = false;
        if (intent.action() == UpstreamAction.GIVE_BACK) {
            UpstreamId id = intent.upstream().orElseThrow();
            if (listed.stream().anyMatch(upstream -> upstream.id().equals(id))) {
                giveBack(journal.adopt(intent), id);
                return true;
            }
            return false;
        }
        if (isListed(intent, listed)) {
            record(EventKind.ORDER_CONFIRMED, intent);
            return false;
        }
        if (ordering.honoursTokens() && count(listed, intent.cheap()) < targets.upstreams(intent.cheap())) {
            order(journal.adopt(intent), count(listed, intent.cheap()), targets);
            return true;
        }
        return false;
    }

    private static boolean isListed(UpstreamIntent intent, List<OrderedUpstream> listed) {
        return listed.stream()
                .anyMatch(upstream -> upstream.token().equals(Optional.of(intent.token()))
                        || (upstream.token().isEmpty()
                                && upstream.cheap() == intent.cheap()
                                && !intent.knownBefore().contains(upstream.id())));
    }

    private boolean adjustCount(List<OrderedUpstream> listed, ScopeTargets targets, boolean cheap)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        int present = count(listed, cheap);
        if (present < targets.upstreams(cheap)) {
            List<UpstreamId> known = listed.stream().map(OrderedUpstream::id).toList();
            order(journal.recordOrder(cheap, known), present, targets);
            return true;
        }
        if (present > targets.upstreams(cheap)) {
            return giveBackOne(listed, targets, cheap);
        }
        cancelAnnouncements(listed, cheap);
        return false;
    }

    /** Counts the listed upstreams, corrected by recent orders and give-backs that the list may not show yet. */
    private int count(List<OrderedUpstream> listed, boolean cheap) {
        long listedCount = listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && !recentGiveBacks.containsKey(upstream.id()))
                .count();
        long recentlyOrdered = recentOrders.values().stream()
                .filter(order -> order.cheap() == cheap)
                .count();
        return Math.toIntExact(listedCount + recentlyOrdered);
    }

    private void order(UpstreamIntent intent, int present, ScopeTargets targets) throws InvariantViolationException {
        if (!scope.isGranted()) {
            return;
        }
        checkInvariant(intent, present < targets.upstreams(intent.cheap()));
        record(EventKind.ORDER_INTENDED, intent);
        markCallOpen();
        try {
            UpstreamId id = ordering.order(
                    service, zone, intent.cheap(), intent.token(), intent.fencingNumber(), scope::isGranted);
            recentOrders.put(id, new RecentOrder(intent.cheap(), timeAfter(settings.maximumEffectDelay())));
            markCallResolved(Duration.ZERO);
            record(EventKind.ORDER_SENT, intent);
        } catch (InterfaceUnavailableException notExecuted) {
            markCallResolved(settings.retryDelay());
            recordFailure(intent, notExecuted);
        } catch (PlatformException unknown) {
            markOutcomeUnknown();
            recordFailure(intent, unknown);
        }
    }

    private boolean giveBackOne(List<OrderedUpstream> listed, ScopeTargets targets, boolean cheap)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        Optional<OrderedUpstream> surplus = listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && !recentGiveBacks.containsKey(upstream.id()))
                .min(preferredSurplus(targets));
        if (surplus.isEmpty()) {
            return false;
        }
        UpstreamId id = surplus.get().id();
        announcedGiveBacks.add(id);
        if (!listener.prepareGiveBack(id)) {
            return false;
        }
        giveBack(journal.recordGiveBack(cheap, id), id);
        return true;
    }

    /**
     * Prefers upstreams that are already draining, then those that are not running yet, then those without a target.
     */
    private Comparator<OrderedUpstream> preferredSurplus(ScopeTargets targets) {
        return Comparator.comparing((OrderedUpstream upstream) -> !announcedGiveBacks.contains(upstream.id()))
                .thenComparing(OrderedUpstream::running)
                .thenComparing(upstream -> targets.engines().containsKey(upstream.id()))
                .thenComparing(OrderedUpstream::id);
    }

    private void giveBack(UpstreamIntent intent, UpstreamId id) throws InvariantViolationException {
        if (!scope.isGranted()) {
            return;
        }
        checkInvariant(intent, true);
        record(EventKind.ORDER_INTENDED, intent);
        markCallOpen();
        try {
            ordering.giveBack(id, intent.fencingNumber(), scope::isGranted);
            recentGiveBacks.put(id, timeAfter(settings.maximumEffectDelay()));
            announcedGiveBacks.remove(id);
            markCallResolved(Duration.ZERO);
            record(EventKind.ORDER_SENT, intent);
        } catch (InterfaceUnavailableException notExecuted) {
            markCallResolved(settings.retryDelay());
            recordFailure(intent, notExecuted);
        } catch (PlatformException unknown) {
            markOutcomeUnknown();
            recordFailure(intent, unknown);
        }
    }

    private void checkInvariant(UpstreamIntent intent, boolean stillWanted) throws InvariantViolationException {
        environment
                .invariants()
                .require(
                        Promise.SINGLE_UPSTREAM_ORDERER,
                        stillWanted
                                && !unresolved
                                && intent.fencingNumber().equals(scope.fencingNumber())
                                && journal.upstream().equals(Optional.of(intent)),
                        () -> "upstream order " + intent
                                + " is not the recorded one, is not needed, or an earlier one is still open");
    }

    private void markCallOpen() {
        unresolved = true;
        outcomeMayBeOpen = true;
        nextCallAt = timeAfter(settings.maximumEffectDelay());
        scope.setOutcomesKnown(false);
    }

    private void markCallResolved(Duration delay) {
        unresolved = false;
        outcomeMayBeOpen = false;
        nextCallAt = timeAfter(delay);
    }

    private void markOutcomeUnknown() {
        nextCallAt = timeAfter(settings.maximumEffectDelay());
    }

    private void removeExpired(List<OrderedUpstream> listed) {
        long now = now();
        listed.forEach(upstream -> recentOrders.remove(upstream.id()));
        recentOrders.values().removeIf(order -> now - order.expires() >= 0);
        recentGiveBacks.values().removeIf(expires -> now - expires >= 0);
    }

    private void cancelAnnouncements(List<OrderedUpstream> listed, boolean cheap) {
        listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && announcedGiveBacks.remove(upstream.id()))
                .forEach(upstream -> listener.changeFinished(upstream.id()));
    }

    private long now() {
        return environment.clock().nanoTime();
    }

    private long timeAfter(Duration duration) {
        return now() + duration.toNanos();
    }

    private void record(EventKind kind, UpstreamIntent intent) {
        environment
                .timeline()
                .record(
                        kind,
                        EventField.of("action", intent.action()),
                        EventField.of("scope", scope.scope()),
                        EventField.of("token", intent.token()));
    }

    private void recordFailure(UpstreamIntent intent, PlatformException failure) {
        environment
                .timeline()
                .record(
                        EventKind.ORDER_FAILED,
                        EventField.of("action", intent.action()),
                        EventField.of("token", intent.token()),
                        EventField.of("failure", failure));
    }

    private record RecentOrder(boolean cheap, long expires) {}
}
