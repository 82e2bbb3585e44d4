package io.banyantally.internal.orders;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.StaleFencingNumberException;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reconciles the engines of one scope with their targets while this VM owns the scope. Each engine has at most one open
 * order. An engine with a recorded order gets another target only after a read has shown that the recorded order took
 * effect, or after the engine has refused it.
 */
final class EngineOrderExecutor {

    private final OwnedScope scope;
    private final OrderJournal journal;
    private final EngineSource engines;
    private final UpstreamChangeListener listener;
    private final OrderEnvironment environment;
    private final OrderSettings settings;
    private final Map<UpstreamId, EngineProgress> progress = new HashMap<>();

    EngineOrderExecutor(
            OwnedScope scope,
            OrderJournal journal,
            EngineSource engines,
            UpstreamChangeListener listener,
            OrderEnvironment environment) {
        this.scope = scope;
        this.journal = journal;
        this.engines = engines;
        this.listener = listener;
        this.environment = environment;
        this.settings = environment.settings();
    }

    /**
     * Reads the engines that are due, and sends orders to those that differ from their target or from the recorded
     * order.
     */
    void reconcile(ScopeTargets targets)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        Map<UpstreamId, EngineTarget> repairs = new LinkedHashMap<>();
        Map<UpstreamId, EngineTarget> changes = new LinkedHashMap<>();
        Set<UpstreamId> known = new TreeSet<>(journal.engines());
        known.addAll(targets.engines().keySet());
        for (UpstreamId id : known) {
            // Reads of unresponsive engines run into their timeouts; a release must not wait for all of them.
            if (scope.isGranted() && progressOf(id).isDue(now())) {
                checkEngine(id, Optional.ofNullable(targets.engines().get(id)), repairs, changes);
            }
        }
        send(selectOrders(repairs, changes));
    }

    /** Returns whether the outcome of every order sent during this ownership is known or can no longer change. */
    boolean outcomesKnown() {
        long now = now();
        return progress.values().stream().noneMatch(engine -> engine.outcomeUnknown(now));
    }

    private void checkEngine(
            UpstreamId id,
            Optional<EngineTarget> target,
            Map<UpstreamId, EngineTarget> repairs,
            Map<UpstreamId, EngineTarget> changes) {
        EngineProgress engine = progressOf(id);
        Optional<EngineState> read = read(id, target.isPresent());
        if (read.isEmpty()) {
            engine.scheduleRead(timeAfter(settings.readInterval()));
            return;
        }
        EngineState state = read.get();
        if (state.changing()) {
            engine.scheduleRead(timeAfter(settings.readInterval()));
            return;
        }
        Optional<EngineIntent> intent = journal.engine(id);
        if (intent.isPresent() && !engine.isConfirmed()) {
            if (!state.target().equals(intent.get().target())) {
                repairs.put(id, intent.get().target());
                return;
            }
            engine.setConfirmed(true);
            record(EventKind.ORDER_CONFIRMED, intent.get());
        }
        if (target.isPresent() && !target.get().equals(state.target())) {
            changes.put(id, target.get());
            return;
        }
        engine.scheduleRead(timeAfter(settings.verifyInterval()));
        if (engine.isChangeAnnounced()) {
            engine.setChangeAnnounced(false);
            listener.changeFinished(id);
        }
    }

    private Optional<EngineState> read(UpstreamId id, boolean hasTarget) {
        Optional<Engine> engine = engines.engine(id);
        if (engine.isEmpty()) {
            if (!hasTarget) {
                journal.remove(id);
                progress.remove(id);
            }
            return Optional.empty();
        }
        try {
            return Optional.of(engine.get().state());
        } catch (UpstreamException unreadable) {
            return Optional.empty();
        }
    }

    /** Selects repairs before changes. An order is held back until routing sends the engine no new work. */
    private Map<UpstreamId, EngineTarget> selectOrders(
            Map<UpstreamId, EngineTarget> repairs, Map<UpstreamId, EngineTarget> changes) {
        Map<UpstreamId, EngineTarget> chosen = new LinkedHashMap<>();
        repairs.forEach((id, target) -> {
            if (prepareChange(id, target)) {
                chosen.put(id, target);
            }
        });
        long allowedChanges = settings.maximumConcurrentChanges() - unconfirmedOrders(changes);
        for (Map.Entry<UpstreamId, EngineTarget> change : changes.entrySet()) {
            if (allowedChanges <= 0) {
                break;
            }
            allowedChanges--;
            if (prepareChange(change.getKey(), change.getValue())) {
                chosen.put(change.getKey(), change.getValue());
            }
        }
        return chosen;
    }

    private long unconfirmedOrders(Map<UpstreamId, EngineTarget> changes) {
        return journal.engines().stream()
                .filter(id -> !changes.containsKey(id))
                .filter(id -> !progressOf(id).isConfirmed())
                .count();
    }

    private boolean prepareChange(UpstreamId id, EngineTarget target) {
        progressOf(id).setChangeAnnounced(true);
        return listener.prepareChange(id, target);
    }

    private void send(Map<UpstreamId, EngineTarget> orders)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        if (orders.isEmpty() || !scope.isGranted()) {
            return;
        }
        for (EngineIntent intent : journal.recordIntents(orders)) {
            record(EventKind.ORDER_INTENDED, intent);
            progressOf(intent.engine()).setConfirmed(false);
        }
        for (UpstreamId id : orders.keySet()) {
            Optional<EngineIntent> intent = journal.engine(id);
            Optional<Engine> engine = engines.engine(id);
            if (intent.isPresent() && engine.isPresent() && scope.isGranted()) {
                send(intent.get(), engine.get());
            }
        }
    }

    private void send(EngineIntent intent, Engine engine) throws AuthorityLostException, InvariantViolationException {
        checkInvariants(intent);
        EngineProgress state = progressOf(intent.engine());
        state.recordSent(intent.sequence());
        scope.setOutcomesKnown(false);
        try {
            engine.apply(intent.order(), scope::isGranted);
            state.scheduleRead(timeAfter(settings.readInterval()));
            record(EventKind.ORDER_SENT, intent);
        } catch (NotSentException notSent) {
            state.scheduleRead(timeAfter(settings.retryDelay()));
            recordFailure(intent, notSent);
        } catch (UpstreamRefusedException refused) {
            // The order did not run, so the engine may get another target.
            state.setConfirmed(true);
            state.scheduleRead(timeAfter(settings.retryDelay()));
            recordFailure(intent, refused);
        } catch (StaleFencingNumberException stale) {
            state.scheduleRead(timeAfter(settings.retryDelay()));
            recordFailure(intent, stale);
            scope.abandon("engine " + intent.engine() + " has received an order of a later owner");
            throw new AuthorityLostException(
                    "engine " + intent.engine() + " has received an order of a later owner", stale);
        } catch (UpstreamException unknown) {
            state.awaitOutcomeUntil(timeAfter(settings.maximumEffectDelay()));
            recordFailure(intent, unknown);
        }
    }

    private void checkInvariants(EngineIntent intent) throws InvariantViolationException {
        EngineProgress state = progressOf(intent.engine());
        environment
                .invariants()
                .require(
                        Promise.NO_CONFLICTING_ORDERS,
                        journal.engine(intent.engine()).equals(Optional.of(intent))
                                && intent.sequence() > state.lastSequence()
                                && intent.sequence() <= scope.sequence()
                                && !state.outcomeUnknown(now()),
                        () -> "order " + intent
                                + " differs from the recorded order, or an earlier order is still open");
        environment
                .invariants()
                .require(
                        Promise.STALE_AUTHORITY_HARMLESS,
                        intent.fencingNumber().equals(scope.fencingNumber()),
                        () -> "order " + intent + " was not recorded under the fencing number of the current owner, "
                                + scope.fencingNumber());
    }

    private EngineProgress progressOf(UpstreamId id) {
        return progress.computeIfAbsent(id, unknown -> new EngineProgress(now()));
    }

    private long now() {
        return environment.clock().nanoTime();
    }

    private long timeAfter(Duration duration) {
        return now() + duration.toNanos();
    }

    private void recordFailure(EngineIntent intent, UpstreamException failure) {
        environment
                .timeline()
                .record(
                        EventKind.ORDER_FAILED,
                        EventField.of("engine", intent.engine()),
                        EventField.of("sequence", intent.sequence()),
                        EventField.of("failure", failure));
    }

    private void record(EventKind kind, EngineIntent intent) {
        environment
                .timeline()
                .record(
                        kind,
                        EventField.of("engine", intent.engine()),
                        EventField.of("fencingNumber", intent.fencingNumber()),
                        EventField.of("sequence", intent.sequence()),
                        EventField.of("role", intent.target().role()));
    }
}
