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
 * Brings the engines of one scope to their targets during one ownership. For each engine one order is open at a time. An
 * engine with a recorded order gets no other target before it was read back and shows the recorded one, or refused it.
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

    /** Reads the engines that are due, and orders what differs from the targets or from the recorded orders. */
    void pass(ScopeTargets targets) throws AuthorityLostException, InvariantViolationException, InterruptedException {
        Map<UpstreamId, EngineTarget> repairs = new LinkedHashMap<>();
        Map<UpstreamId, EngineTarget> changes = new LinkedHashMap<>();
        Set<UpstreamId> known = new TreeSet<>(journal.engines());
        known.addAll(targets.engines().keySet());
        for (UpstreamId id : known) {
            // Reads of engines that do not answer take long; a release must not wait for all of them.
            if (scope.isGranted() && progressOf(id).isDue(now())) {
                examine(id, Optional.ofNullable(targets.engines().get(id)), repairs, changes);
            }
        }
        send(chooseOrders(repairs, changes));
    }

    /** Returns whether no order of this ownership can still take effect unseen. */
    boolean outcomesKnown() {
        long now = now();
        return progress.values().stream().noneMatch(engine -> engine.mayFloat(now));
    }

    private void examine(
            UpstreamId id,
            Optional<EngineTarget> wanted,
            Map<UpstreamId, EngineTarget> repairs,
            Map<UpstreamId, EngineTarget> changes) {
        EngineProgress engine = progressOf(id);
        Optional<EngineState> read = read(id, wanted.isPresent());
        if (read.isEmpty()) {
            engine.readAt(after(settings.readInterval()));
            return;
        }
        EngineState state = read.get();
        if (state.changing()) {
            engine.readAt(after(settings.readInterval()));
            return;
        }
        Optional<EngineIntent> intent = journal.engine(id);
        if (intent.isPresent() && !engine.isReconciled()) {
            if (!state.target().equals(intent.get().target())) {
                repairs.put(id, intent.get().target());
                return;
            }
            engine.setReconciled(true);
            record(EventKind.ORDER_CONFIRMED, intent.get());
        }
        if (wanted.isPresent() && !wanted.get().equals(state.target())) {
            changes.put(id, wanted.get());
            return;
        }
        engine.readAt(after(settings.verifyInterval()));
        if (engine.isAnnounced()) {
            engine.setAnnounced(false);
            listener.changeFinished(id);
        }
    }

    private Optional<EngineState> read(UpstreamId id, boolean wanted) {
        Optional<Engine> engine = engines.engine(id);
        if (engine.isEmpty()) {
            if (!wanted) {
                journal.forget(id);
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

    /** Repairs go first; both wait until routing gives the engine no new work. */
    private Map<UpstreamId, EngineTarget> chooseOrders(
            Map<UpstreamId, EngineTarget> repairs, Map<UpstreamId, EngineTarget> changes) {
        Map<UpstreamId, EngineTarget> chosen = new LinkedHashMap<>();
        repairs.forEach((id, target) -> {
            if (isPrepared(id, target)) {
                chosen.put(id, target);
            }
        });
        long room = settings.maximumConcurrentChanges() - openChanges(changes);
        for (Map.Entry<UpstreamId, EngineTarget> change : changes.entrySet()) {
            if (room <= 0) {
                break;
            }
            room--;
            if (isPrepared(change.getKey(), change.getValue())) {
                chosen.put(change.getKey(), change.getValue());
            }
        }
        return chosen;
    }

    private long openChanges(Map<UpstreamId, EngineTarget> changes) {
        return journal.engines().stream()
                .filter(id -> !changes.containsKey(id))
                .filter(id -> !progressOf(id).isReconciled())
                .count();
    }

    private boolean isPrepared(UpstreamId id, EngineTarget target) {
        progressOf(id).setAnnounced(true);
        return listener.prepareChange(id, target);
    }

    private void send(Map<UpstreamId, EngineTarget> orders)
            throws AuthorityLostException, InvariantViolationException, InterruptedException {
        if (orders.isEmpty() || !scope.isGranted()) {
            return;
        }
        for (EngineIntent intent : journal.intend(orders)) {
            record(EventKind.ORDER_INTENDED, intent);
            progressOf(intent.engine()).setReconciled(false);
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
        requirePromises(intent);
        EngineProgress state = progressOf(intent.engine());
        state.sent(intent.sequence());
        scope.setOutcomesKnown(false);
        try {
            engine.apply(intent.order(), scope::isGranted);
            state.readAt(after(settings.readInterval()));
            record(EventKind.ORDER_SENT, intent);
        } catch (NotSentException notSent) {
            state.readAt(after(settings.retryDelay()));
            recordFailure(intent, notSent);
        } catch (UpstreamRefusedException refused) {
            // It certainly did not run, so the engine may be given another target.
            state.setReconciled(true);
            state.readAt(after(settings.retryDelay()));
            recordFailure(intent, refused);
        } catch (StaleFencingNumberException stale) {
            state.readAt(after(settings.retryDelay()));
            recordFailure(intent, stale);
            scope.abandon("engine " + intent.engine() + " has seen a later owner");
            throw new AuthorityLostException("engine " + intent.engine() + " has seen a later owner", stale);
        } catch (UpstreamException unknown) {
            state.floatsUntil(after(settings.maximumEffectDelay()));
            recordFailure(intent, unknown);
        }
    }

    private void requirePromises(EngineIntent intent) throws InvariantViolationException {
        EngineProgress state = progressOf(intent.engine());
        environment
                .invariants()
                .require(
                        Promise.NO_CONFLICTING_ORDERS,
                        journal.engine(intent.engine()).equals(Optional.of(intent))
                                && intent.sequence() > state.lastSequence()
                                && intent.sequence() <= scope.sequence()
                                && !state.mayFloat(now()),
                        () -> "order " + intent + " is not the recorded one, or an earlier order is open");
        environment
                .invariants()
                .require(
                        Promise.STALE_AUTHORITY_HARMLESS,
                        intent.fencingNumber().equals(scope.fencingNumber()),
                        () -> "order " + intent + " was recorded by another owner than " + scope.fencingNumber());
    }

    private EngineProgress progressOf(UpstreamId id) {
        return progress.computeIfAbsent(id, unknown -> new EngineProgress(now()));
    }

    private long now() {
        return environment.clock().nanoTime();
    }

    private long after(Duration duration) {
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
