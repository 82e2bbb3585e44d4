package io.banyantally.internal.orders;

import io.banyantally.model.ExchangeId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.UpstreamId;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.EngineTarget;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.StaleFencingNumberException;
import io.banyantally.upstream.UpstreamException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;

/** A simulated engine that receives orders and reports each order that takes effect to the {@link SiteCheck}. */
final class SimulatedEngine {

    static final Duration READ_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CHANGE_TIME = Duration.ofSeconds(2);

    final UpstreamId id;
    final Set<SimulatedVm> prepared = new HashSet<>();
    private final SimulatedSite site;
    private final Simulation simulation;
    private final EngineTarget initial;
    private final boolean honoursFencing;
    private EngineTarget target;
    private long changingUntil;
    private FencingNumber highestSeen = FencingNumber.NONE;
    private long lastSequence;

    SimulatedEngine(SimulatedSite site, UpstreamId id, EngineTarget initial, boolean honoursFencing) {
        this.site = site;
        this.simulation = site.simulation;
        this.id = id;
        this.initial = initial;
        this.target = initial;
        this.honoursFencing = honoursFencing;
    }

    EngineTarget target() {
        return target;
    }

    /** Restarts with the initial target; loses the change in progress and the highest fencing number. */
    void crash() {
        target = initial;
        changingUntil = simulation.now();
        highestSeen = FencingNumber.NONE;
    }

    Engine clientOf(SimulatedVm vm) {
        return new Client(vm);
    }

    private boolean isConnectionOpen(long interimResponseAt) {
        return simulation.now() - interimResponseAt <= READ_TIMEOUT.toNanos();
    }

    private void requireConnectionOpen(long interimResponseAt) throws AnswerTruncatedException {
        if (!isConnectionOpen(interimResponseAt)) {
            throw new AnswerTruncatedException("the receiver closed the connection");
        }
    }

    /** Applies an order that was received; returns the refusal, if any. */
    private Optional<UpstreamException> handle(SimulatedVm vm, EngineOrder order) {
        if (honoursFencing && highestSeen.isAfter(order.fencingNumber())) {
            return Optional.of(new StaleFencingNumberException("engine " + id + " has seen " + highestSeen));
        }
        site.check.checkEngineOrder(this, vm, order);
        highestSeen = order.fencingNumber();
        lastSequence = order.sequence();
        if (!order.target().equals(target)) {
            target = order.target();
            changingUntil = simulation.now() + CHANGE_TIME.toNanos();
        }
        return Optional.empty();
    }

    private final class Client implements Engine {

        private final SimulatedVm vm;

        Client(SimulatedVm vm) {
            this.vm = vm;
        }

        @Override
        public void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
            vm.reach(Step.OPEN_CONNECTION, simulation.randomDuration(Duration.ofMillis(5)));
            if (vm.enginesAreCut()) {
                throw new NotSentException("link cut");
            }
            long interimResponseAt = simulation.now();
            vm.reach(Step.CHECK, simulation.randomDuration(Duration.ofMillis(5)));
            if (!authority.isGranted()) {
                throw new NotSentException("permission refused");
            }
            vm.reach(Step.SEND, simulation.randomDuration(Duration.ofMillis(5)));
            if (vm.enginesAreCut()) {
                simulation.schedule(site.deliveryDelay(), () -> deliverLate(order, interimResponseAt));
                simulation.yieldFor(Duration.ofSeconds(3));
                throw new AnswerTruncatedException("no answer");
            }
            requireConnectionOpen(interimResponseAt);
            AtomicReference<Optional<UpstreamException>> refusal = new AtomicReference<>(Optional.empty());
            Duration processing = site.processingTime();
            simulation.schedule(processing, () -> refusal.set(handle(vm, order)));
            simulation.yieldFor(processing.plusMillis(1));
            if (refusal.get().isPresent()) {
                throw refusal.get().get();
            }
            if (vm.consumeLostAnswer()) {
                throw new AnswerTruncatedException("answer lost");
            }
        }

        private void deliverLate(EngineOrder order, long interimResponseAt) {
            if (isConnectionOpen(interimResponseAt)) {
                simulation.schedule(site.processingTime(), () -> handle(vm, order));
            }
        }

        @Override
        public EngineState state() throws UpstreamException {
            vm.reach(Step.CONFIRM, simulation.randomDuration(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || vm.consumeLostAnswer()) {
                throw new AnswerTruncatedException("no answer");
            }
            return new EngineState(target, simulation.now() < changingUntil, highestSeen, lastSequence);
        }

        @Override
        public AnswerStream generate(GenerationRequest request) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void cancel(ExchangeId exchange) {}

        @Override
        public LoadReport loadReport() {
            throw new UnsupportedOperationException();
        }

        @Override
        public List<CacheEvent> cacheEvents(long after) {
            return List.of();
        }

        @Override
        public void transferCache(long prefixHash, Engine destination) {}
    }
}
