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

/** An engine with the receiver's side of the order exchange; it checks every order that takes effect. */
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

    /** Loses the change under way and all memory of earlier owners. */
    void crash() {
        target = initial;
        changingUntil = simulation.now();
        highestSeen = FencingNumber.NONE;
    }

    Engine seenFrom(SimulatedVm vm) {
        return new Handle(vm);
    }

    private boolean isOpen(long interimAt) {
        return simulation.now() - interimAt <= READ_TIMEOUT.toNanos();
    }

    private void requireOpen(long interimAt) throws AnswerTruncatedException {
        if (!isOpen(interimAt)) {
            throw new AnswerTruncatedException("the receiver closed the connection");
        }
    }

    /** Carries out an order that was read; returns the refusal, if any. */
    private Optional<UpstreamException> handle(SimulatedVm vm, EngineOrder order) {
        if (honoursFencing && highestSeen.isAfter(order.fencingNumber())) {
            return Optional.of(new StaleFencingNumberException("engine " + id + " has seen " + highestSeen));
        }
        site.check.engineOrder(this, vm, order);
        highestSeen = order.fencingNumber();
        lastSequence = order.sequence();
        if (!order.target().equals(target)) {
            target = order.target();
            changingUntil = simulation.now() + CHANGE_TIME.toNanos();
        }
        return Optional.empty();
    }

    private final class Handle implements Engine {

        private final SimulatedVm vm;

        Handle(SimulatedVm vm) {
            this.vm = vm;
        }

        @Override
        public void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
            vm.at(Step.OPEN_CONNECTION, simulation.upTo(Duration.ofMillis(5)));
            if (vm.enginesAreCut()) {
                throw new NotSentException("link cut");
            }
            long interimAt = simulation.now();
            vm.at(Step.CHECK, simulation.upTo(Duration.ofMillis(5)));
            if (!authority.isGranted()) {
                throw new NotSentException("permission refused");
            }
            vm.at(Step.SEND, simulation.upTo(Duration.ofMillis(5)));
            if (vm.enginesAreCut()) {
                simulation.after(site.holdBack(), () -> deliverLate(order, interimAt));
                simulation.pass(Duration.ofSeconds(3));
                throw new AnswerTruncatedException("no answer");
            }
            requireOpen(interimAt);
            AtomicReference<Optional<UpstreamException>> refusal = new AtomicReference<>(Optional.empty());
            Duration processing = site.processing();
            simulation.after(processing, () -> refusal.set(handle(vm, order)));
            simulation.pass(processing.plusMillis(1));
            if (refusal.get().isPresent()) {
                throw refusal.get().get();
            }
            if (vm.takeLostAnswer()) {
                throw new AnswerTruncatedException("answer lost");
            }
        }

        private void deliverLate(EngineOrder order, long interimAt) {
            if (isOpen(interimAt)) {
                simulation.after(site.processing(), () -> handle(vm, order));
            }
        }

        @Override
        public EngineState state() throws UpstreamException {
            vm.at(Step.CONFIRM, simulation.upTo(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || vm.takeLostAnswer()) {
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
