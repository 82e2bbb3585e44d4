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

/** The simulated interface for ordering upstreams. Its list lags, and each call that takes effect is checked. */
final class SimulatedOrdering {

    private static final Duration LIST_LAG = Duration.ofSeconds(2);

    private final SimulatedSite site;
    private final Simulation simulation;
    private final boolean honoursTokens;
    private final boolean honoursFencing;
    private final Map<UpstreamId, HeldUpstream> held = new LinkedHashMap<>();
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
        return Math.toIntExact(held.values().stream()
                .filter(heldUpstream -> heldUpstream.cheap == cheap)
                .count());
    }

    UpstreamOrdering clientOf(SimulatedVm vm) {
        return new Client(vm);
    }

    private boolean handle(FencingNumber fencingNumber, Runnable effect) {
        if (honoursFencing && highestSeen.isAfter(fencingNumber)) {
            return false;
        }
        highestSeen = fencingNumber;
        site.check.recordEffect(fencingNumber);
        effect.run();
        return true;
    }

    private record HeldUpstream(boolean cheap, OrderToken token, long since) {}

    private final class Client implements UpstreamOrdering {

        private final SimulatedVm vm;

        Client(SimulatedVm vm) {
            this.vm = vm;
        }

        @Override
        public boolean honoursTokens() {
            return honoursTokens;
        }

        @Override
        public List<OrderedUpstream> list(ServiceName service, AvailabilityZone zone) throws PlatformException {
            vm.reach(Step.CONFIRM, simulation.randomDuration(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || vm.consumeLostAnswer()) {
                throw new InterfaceUnavailableException("no answer");
            }
            List<OrderedUpstream> listed = new ArrayList<>();
            held.forEach((id, heldUpstream) -> {
                if (simulation.now() - heldUpstream.since >= LIST_LAG.toNanos()) {
                    Optional<OrderToken> token = honoursTokens ? Optional.of(heldUpstream.token) : Optional.empty();
                    listed.add(new OrderedUpstream(id, service, zone, heldUpstream.cheap, true, token, 1));
                }
            });
            return listed;
        }

        @Override
        public UpstreamId order(
                ServiceName service, AvailabilityZone zone, boolean cheap, OrderToken token, FencingNumber number) {
            throw new AssertionError("call without a send permission");
        }

        @Override
        public void giveBack(UpstreamId upstream, FencingNumber number) {
            throw new AssertionError("call without a send permission");
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
            exchange(number, permission, () -> ordered[0] = createUpstream(cheap, token));
            return ordered[0];
        }

        private UpstreamId createUpstream(boolean cheap, OrderToken token) {
            UpstreamId known = honoursTokens ? tokens.get(token) : null;
            if (known == null) {
                known = new UpstreamId("u-" + ++lastId);
                held.put(known, new HeldUpstream(cheap, token, simulation.now()));
                tokens.put(token, known);
                site.check.checkUpstreamCount(cheap, count(cheap));
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
            vm.reach(Step.ORDER_OPEN, simulation.randomDuration(Duration.ofMillis(5)));
            long interimResponseAt = simulation.now();
            vm.reach(Step.ORDER_CHECK, simulation.randomDuration(Duration.ofMillis(5)));
            if (vm.enginesAreCut() || !permission.isGranted()) {
                throw new InterfaceUnavailableException("not sent");
            }
            vm.reach(Step.ORDER_SEND, simulation.randomDuration(Duration.ofMillis(5)));
            if (simulation.now() - interimResponseAt > SimulatedEngine.READ_TIMEOUT.toNanos()) {
                throw new InterfaceOutcomeUnknownException("the receiver closed the connection");
            }
            boolean[] refused = {false};
            Duration processing = site.processingTime();
            simulation.schedule(processing, () -> refused[0] = !handle(number, effect));
            vm.reach(Step.ORDER_ANSWER, processing.plusMillis(1));
            if (vm.enginesAreCut() || vm.consumeLostAnswer()) {
                throw new InterfaceOutcomeUnknownException("answer lost");
            }
            if (refused[0]) {
                throw new InterfaceUnavailableException("a later owner is known");
            }
        }
    }
}
