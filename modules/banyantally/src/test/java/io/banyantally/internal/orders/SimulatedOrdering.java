package io.banyantally.internal.orders;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.InterfaceOutcomeUnknownException;
import io.banyantally.platform.InterfaceUnavailableException;
import io.banyantally.platform.OrderToken;
import io.banyantally.platform.OrderedUpstream;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.UpstreamOrdering;
import io.banyantally.upstream.SendPermission;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The platform's interface for ordering upstreams; its list lags, and it checks every call that takes effect. */
final class SimulatedOrdering {

    private static final Duration LIST_LAG = Duration.ofSeconds(2);

    private final SimulatedSite site;
    private final Simulation simulation;
    private final boolean honoursTokens;
    private final boolean honoursFencing;
    private final Map<UpstreamId, Held> held = new LinkedHashMap<>();
    private final Map<OrderToken, UpstreamId> tokens = new LinkedHashMap<>();
    private FencingNumber highestSeen = FencingNumber.NONE;
    private int lastId;

    SimulatedOrdering(SimulatedSite site, boolean honoursTokens, boolean honoursFencing) {
        this.site = site;
        this.simulation = site.simulation;
        this.honoursTokens = honoursTokens;
        this.honoursFencing = honoursFencing;
    }

    int count(boolean cheap) {
        return Math.toIntExact(
                held.values().stream().filter(one -> one.cheap == cheap).count());
    }

    UpstreamOrdering seenFrom(SimulatedVm vm) {
        return new Handle(vm);
    }

    private boolean handle(FencingNumber fencingNumber, Runnable effect) {
        if (honoursFencing && highestSeen.isAfter(fencingNumber)) {
            return false;
        }
        highestSeen = fencingNumber;
        site.check.action(fencingNumber);
        effect.run();
        return true;
    }

    private record Held(boolean cheap, OrderToken token, long since) {}

    private final class Handle implements UpstreamOrdering {

        private final SimulatedVm vm;

        Handle(SimulatedVm vm) {
            this.vm = vm;
        }

        @Override
        public boolean honoursTokens() {
            return honoursTokens;
        }

        @Override
        public List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) throws PlatformException {
            vm.at(Step.CONFIRM, simulation.upTo(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || vm.takeLostAnswer()) {
                throw new InterfaceUnavailableException("no answer");
            }
            List<OrderedUpstream> listed = new ArrayList<>();
            held.forEach((id, one) -> {
                if (simulation.now() - one.since >= LIST_LAG.toNanos()) {
                    Optional<OrderToken> token = honoursTokens ? Optional.of(one.token) : Optional.empty();
                    listed.add(new OrderedUpstream(id, service, zone, one.cheap, true, token, 1));
                }
            });
            return listed;
        }

        @Override
        public UpstreamId order(
                ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber number) {
            throw new AssertionError("orders ask for permission");
        }

        @Override
        public void giveBack(UpstreamId upstream, FencingNumber number) {
            throw new AssertionError("orders ask for permission");
        }

        @Override
        public UpstreamId order(
                ServiceName service,
                AvailabilityZone zone,
                boolean cheap,
                OrderToken token,
                FencingNumber number,
                SendPermission permission)
                throws PlatformException {
            UpstreamId[] ordered = new UpstreamId[1];
            exchange(number, permission, () -> ordered[0] = carryOut(cheap, token));
            return ordered[0];
        }

        private UpstreamId carryOut(boolean cheap, OrderToken token) {
            UpstreamId known = honoursTokens ? tokens.get(token) : null;
            if (known == null) {
                known = new UpstreamId("u-" + ++lastId);
                held.put(known, new Held(cheap, token, simulation.now()));
                tokens.put(token, known);
                site.check.ordered(cheap, count(cheap));
            }
            return known;
        }

        @Override
        public void giveBack(UpstreamId upstream, FencingNumber number, SendPermission permission)
                throws PlatformException {
            exchange(number, permission, () -> held.remove(upstream));
        }

        private void exchange(FencingNumber number, SendPermission permission, Runnable effect)
                throws PlatformException {
            vm.at(Step.ORDER_OPEN, simulation.upTo(Duration.ofMillis(5)));
            long interimAt = simulation.now();
            vm.at(Step.ORDER_CHECK, simulation.upTo(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || !permission.isGranted()) {
                throw new InterfaceUnavailableException("not sent");
            }
            vm.at(Step.ORDER_SEND, simulation.upTo(Duration.ofMillis(5)));
            if (simulation.now() - interimAt > SimulatedEngine.READ_TIMEOUT.toNanos()) {
                throw new InterfaceOutcomeUnknownException("the receiver closed the connection");
            }
            boolean[] refused = {false};
            Duration processing = site.processing();
            simulation.after(processing, () -> refused[0] = !handle(number, effect));
            vm.at(Step.ORDER_ANSWER, processing.plusMillis(1));
            if (vm.enginesAreCut() || vm.takeLostAnswer()) {
                throw new InterfaceOutcomeUnknownException("answer lost");
            }
            if (refused[0]) {
                throw new InterfaceUnavailableException("a later owner is known");
            }
        }
    }
}
