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
 * Brings the number of a scope's upstreams to the target during one ownership, one call at a time. A call with an unknown
 * outcome is resolved before the next one: by its token where tokens are honoured, otherwise by a list that is read when
 * the call can no longer take effect.
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
    private final Map<UpstreamId, Long> recentlyGivenBack = new HashMap<>();
    private final Set<UpstreamId> announced = new HashSet<>();
    private boolean unresolved;
    private boolean mayFloat;
    private long quietUntil;
    private ScopeTargets lastTargets = ScopeTargets.NONE;
    private boolean isAtRest;
    private long nextList;

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
        // The list may not show yet what an earlier owner ordered, even after a clean handover.
        this.quietUntil = unresolved ? after(settings.maximumEffectDelay()) : now();
    }

    /** Makes at most one call that orders or gives back. */
    void pass(ScopeTargets targets) throws AuthorityLostException, InvariantViolationException, InterruptedException {
        if (now() - quietUntil < 0 || !scope.isGranted()) {
            return;
        }
        if (isAtRest && targets.hasSameUpstreams(lastTargets) && now() - nextList < 0) {
            return;
        }
        lastTargets = targets;
        isAtRest = false;
        mayFloat = false;
        List<OrderedUpstream> listed;
        try {
            listed = ordering.list(service, zone);
        } catch (PlatformException unavailable) {
            quietUntil = after(settings.retryDelay());
            return;
        }
        dropExpired(listed);
        if (unresolved && resolve(listed, targets)) {
            return;
        }
        boolean acted = adjust(listed, targets, false) || adjust(listed, targets, true);
        isAtRest = !acted && announced.isEmpty() && recentOrders.isEmpty();
        nextList = after(settings.verifyInterval());
    }

    /** Returns whether no call of this ownership can still take effect unseen. */
    boolean outcomesKnown() {
        return !mayFloat || now() - quietUntil >= 0;
    }

    /** Settles the recorded call by the list; returns whether it was sent again. */
    private boolean resolve(List<OrderedUpstream> listed, ScopeTargets targets)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        UpstreamIntent intent = journal.upstream().orElseThrow();
        unresolved = false;
        if (intent.action() == UpstreamAction.GIVE_BACK) {
            UpstreamId id = intent.upstream().orElseThrow();
            if (listed.stream().anyMatch(upstream -> upstream.id().equals(id))) {
                giveBack(journal.carryOn(intent), id);
                return true;
            }
            return false;
        }
        if (isShown(intent, listed)) {
            record(EventKind.ORDER_CONFIRMED, intent);
            return false;
        }
        if (ordering.honoursTokens() && count(listed, intent.cheap()) < targets.upstreams(intent.cheap())) {
            order(journal.carryOn(intent), count(listed, intent.cheap()), targets);
            return true;
        }
        return false;
    }

    private static boolean isShown(UpstreamIntent intent, List<OrderedUpstream> listed) {
        return listed.stream()
                .anyMatch(upstream -> upstream.token().equals(Optional.of(intent.token()))
                        || (upstream.token().isEmpty()
                                && upstream.cheap() == intent.cheap()
                                && !intent.knownBefore().contains(upstream.id())));
    }

    private boolean adjust(List<OrderedUpstream> listed, ScopeTargets targets, boolean cheap)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        int present = count(listed, cheap);
        if (present < targets.upstreams(cheap)) {
            List<UpstreamId> known = listed.stream().map(OrderedUpstream::id).toList();
            order(journal.intendOrder(cheap, known), present, targets);
            return true;
        }
        if (present > targets.upstreams(cheap)) {
            return giveBackOne(listed, targets, cheap);
        }
        withdrawAnnouncements(listed, cheap);
        return false;
    }

    /** Counts listed upstreams and those that were ordered so recently that the list may lag. */
    private int count(List<OrderedUpstream> listed, boolean cheap) {
        long shown = listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && !recentlyGivenBack.containsKey(upstream.id()))
                .count();
        long notYetShown = recentOrders.values().stream()
                .filter(order -> order.cheap() == cheap)
                .count();
        return Math.toIntExact(shown + notYetShown);
    }

    private void order(UpstreamIntent intent, int present, ScopeTargets targets) throws InvariantViolationException {
        if (!scope.isGranted()) {
            return;
        }
        requireSingleOrderer(intent, present < targets.upstreams(intent.cheap()));
        record(EventKind.ORDER_INTENDED, intent);
        beforeCall();
        try {
            UpstreamId id = ordering.order(
                    service, zone, intent.cheap(), intent.token(), intent.fencingNumber(), scope::isGranted);
            recentOrders.put(id, new RecentOrder(intent.cheap(), after(settings.maximumEffectDelay())));
            settled(Duration.ZERO);
            record(EventKind.ORDER_SENT, intent);
        } catch (InterfaceUnavailableException notHappened) {
            settled(settings.retryDelay());
            recordFailure(intent, notHappened);
        } catch (PlatformException unknown) {
            outcomeUnknown();
            recordFailure(intent, unknown);
        }
    }

    private boolean giveBackOne(List<OrderedUpstream> listed, ScopeTargets targets, boolean cheap)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        Optional<OrderedUpstream> surplus = listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && !recentlyGivenBack.containsKey(upstream.id()))
                .min(preferredSurplus(targets));
        if (surplus.isEmpty()) {
            return false;
        }
        UpstreamId id = surplus.get().id();
        announced.add(id);
        if (!listener.prepareGiveBack(id)) {
            return false;
        }
        giveBack(journal.intendGiveBack(cheap, id), id);
        return true;
    }

    /** An upstream that already drains comes first, then one that does not run yet, then one without a target. */
    private Comparator<OrderedUpstream> preferredSurplus(ScopeTargets targets) {
        return Comparator.comparing((OrderedUpstream upstream) -> !announced.contains(upstream.id()))
                .thenComparing(OrderedUpstream::running)
                .thenComparing(upstream -> targets.engines().containsKey(upstream.id()))
                .thenComparing(OrderedUpstream::id);
    }

    private void giveBack(UpstreamIntent intent, UpstreamId id) throws InvariantViolationException {
        if (!scope.isGranted()) {
            return;
        }
        requireSingleOrderer(intent, true);
        record(EventKind.ORDER_INTENDED, intent);
        beforeCall();
        try {
            ordering.giveBack(id, intent.fencingNumber(), scope::isGranted);
            recentlyGivenBack.put(id, after(settings.maximumEffectDelay()));
            announced.remove(id);
            settled(Duration.ZERO);
            record(EventKind.ORDER_SENT, intent);
        } catch (InterfaceUnavailableException notHappened) {
            settled(settings.retryDelay());
            recordFailure(intent, notHappened);
        } catch (PlatformException unknown) {
            outcomeUnknown();
            recordFailure(intent, unknown);
        }
    }

    private void requireSingleOrderer(UpstreamIntent intent, boolean stillWanted) throws InvariantViolationException {
        environment
                .invariants()
                .require(
                        Promise.SINGLE_UPSTREAM_ORDERER,
                        stillWanted
                                && !unresolved
                                && intent.fencingNumber().equals(scope.fencingNumber())
                                && journal.upstream().equals(Optional.of(intent)),
                        () -> "upstream order " + intent + " is not the recorded one, or an earlier one is open");
    }

    private void beforeCall() {
        unresolved = true;
        mayFloat = true;
        quietUntil = after(settings.maximumEffectDelay());
        scope.setOutcomesKnown(false);
    }

    private void settled(Duration delay) {
        unresolved = false;
        mayFloat = false;
        quietUntil = after(delay);
    }

    private void outcomeUnknown() {
        quietUntil = after(settings.maximumEffectDelay());
    }

    private void dropExpired(List<OrderedUpstream> listed) {
        long now = now();
        listed.forEach(upstream -> recentOrders.remove(upstream.id()));
        recentOrders.values().removeIf(order -> now - order.expires() >= 0);
        recentlyGivenBack.values().removeIf(expires -> now - expires >= 0);
    }

    private void withdrawAnnouncements(List<OrderedUpstream> listed, boolean cheap) {
        listed.stream()
                .filter(upstream -> upstream.cheap() == cheap && announced.remove(upstream.id()))
                .forEach(upstream -> listener.changeFinished(upstream.id()));
    }

    private long now() {
        return environment.clock().nanoTime();
    }

    private long after(Duration duration) {
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
