package io.banyantally.internal.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.AccountRateLimit;
import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.deployment.ConfigurationHolder;
import io.banyantally.internal.duty.ReportedWindows;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.placement.AccountLimitRule;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.AccountUse;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.EngineRates;
import io.banyantally.internal.placement.LimitUse;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.RateReport;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreKey;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.VersionReader;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(20)
final class WorkExchangeTest {

    private static final ReplicaEntry ENGINE = Deployments.engine("e1", "zone-a", EngineStage.PREFILL);

    private final ManualClock clock = new ManualClock();
    private final List<VmId> vms = new ArrayList<>();
    private final FakePeerHub hub = new FakePeerHub();
    private final Vm first = new Vm("vm-1", "zone-a");
    private final Vm second = new Vm("vm-2", "zone-a");

    /** Guards against VMs that together fill a queue because each knows only its own requests. */
    @Test
    void bothSidesReceiveTheWorkOfTheOther() throws InterruptedException {
        first.tracks.of(ENGINE).recordSent(12, clock.nanoTime());
        second.tracks.of(ENGINE).recordSent(7, clock.nanoTime());

        exchange();

        assertEquals(7, first.candidate().peerWork());
        assertEquals(12, second.candidate().peerWork());
        assertEquals(1, second.candidate().peerRequests());
    }

    /** Guards against counting the work of a VM that is down forever, which would keep requests from the upstream. */
    @Test
    void workOfAnUnreachablePeerExpires() throws InterruptedException {
        second.tracks.of(ENGINE).recordSent(7, clock.nanoTime());
        first.tracks.of(ENGINE);
        exchange();

        clock.advance(Duration.ofSeconds(1));

        assertEquals(0, first.candidate().peerWork());
    }

    /** Guards against counting work that has ended. */
    @Test
    void endedWorkIsRemovedWithTheNextMessage() throws InterruptedException {
        long sentAt = clock.nanoTime();
        second.tracks.of(ENGINE).recordSent(7, sentAt);
        first.tracks.of(ENGINE);
        exchange();
        second.tracks.of(ENGINE).recordEnd(7, sentAt);

        exchange();

        assertEquals(0, first.candidate().peerWork());
    }

    /** Guards against VMs of a large fleet that fill a queue because they know only a part of the work in it. */
    @Test
    void everyVmOfALargeFleetKnowsTheWorkOfAllOthers() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        fleet.forEach(vm -> vm.tracks.of(ENGINE).recordSent(3, clock.nanoTime()));

        runFor(Duration.ofMillis(300), fleet);

        for (Vm vm : fleet) {
            assertEquals(3 * (fleet.size() - 1), vm.candidate().peerWork());
            assertEquals(fleet.size() - 1, vm.candidate().peerRequests());
        }
    }

    /** Guards against VMs of a large fleet that learn the rates of engines from their own few calls only. */
    @Test
    void everyVmOfALargeFleetKnowsTheRatesThatOthersMeasure() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        PromptMetadata prompt = new PromptMetadata(3000, 10, List.of(new PromptPart("own", 3000)));
        fleet.forEach(
                vm -> vm.rates.recordPrefill(new Placement.Decision.Send(vm.candidate(), 0, 3, "any"), prompt, 30));

        runFor(Duration.ofMillis(300), fleet);

        for (Vm vm : fleet) {
            double weight =
                    vm.rates.rates(peer -> true).kinds().getFirst().values().getLast();
            assertEquals(fleet.size(), weight, 0.2 * fleet.size(), vm.self.toString());
        }
    }

    /** Guards against losing the exchange with VMs of an earlier version, whose messages have no rates. */
    @Test
    void messageOfAnEarlierVersionHasNoRates() throws PeerException {
        byte[] message = MessagePackCodec.of(EarlierMessage.class).encode(new EarlierMessage(List.of(), 3));

        WorkMessage decoded = MessagePackCodec.of(WorkMessage.class).decode(message);

        assertEquals(RateReport.NONE, decoded.rates());
        assertEquals(3, decoded.vms());
    }

    /** Guards against a holder that reports a window again, since it does not know that another VM has reported it. */
    @Test
    void everyVmOfALargeFleetKnowsTheReportedWindows() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        fleet.getLast().reported.record(7);

        runFor(Duration.ofMillis(500), fleet);

        fleet.forEach(vm -> assertEquals(OptionalLong.of(7), vm.reported.newest()));
    }

    /** Guards against messages that grow with the square of the fleet. */
    @ParameterizedTest
    @ValueSource(ints = {20, 40, 95})
    void messagesOfALargeFleetGrowWithItsSize(int vms) throws InterruptedException {
        List<Vm> fleet = startFleet(vms);

        runFor(Duration.ofSeconds(1), fleet);

        long perInterval = fleet.stream().mapToLong(Vm::requests).sum() / 10;
        double limit = vms * Math.log(vms) / Math.log(2);
        assertTrue(perInterval <= limit, perInterval + " requests in 100 ms, at most " + limit);
    }

    /** Guards against a zone that loses its knowledge of others until a failed delegate returns. */
    @Test
    void anotherDelegateReplacesOneThatIsDown() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        runFor(Duration.ofMillis(300), fleet);
        Vm delegate = fleet.stream().max(Comparator.comparingLong(Vm::handled)).orElseThrow();
        hub.isolate(delegate.self.vm());
        List<Vm> others = fleet.stream().filter(vm -> vm != delegate).toList();
        others.forEach(vm -> vm.tracks.of(ENGINE).recordSent(3, clock.nanoTime()));

        runFor(Duration.ofSeconds(1), others);

        for (Vm vm : others) {
            assertEquals(3 * (others.size() - 1), vm.candidate().peerWork());
        }
    }

    /** Guards against an engine that refuses everything and gets requests of each VM until that VM is refused itself. */
    @Test
    void everyVmOfALargeFleetAvoidsAnUpstreamThatRefusedOne() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        UpstreamTrack refused = fleet.getFirst().tracks.of(ENGINE);
        for (int refusal = 0; refusal < 4; refusal++) {
            refused.recordRefusal(clock.nanoTime(), clock.nanoTime());
        }

        runFor(Duration.ofMillis(300), fleet);

        fleet.forEach(vm -> assertTrue(vm.candidate().refusing(), vm.self.toString()));
    }

    /** Guards against VMs that tell each other of a refusal for ever: they must return to an upstream that is well. */
    @Test
    void refusalsAreForgottenByAllVms() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        fleet.getFirst().tracks.of(ENGINE).recordRefusal(clock.nanoTime(), clock.nanoTime());

        runFor(Duration.ofSeconds(1), fleet);

        fleet.forEach(vm -> assertFalse(vm.candidate().refusing(), vm.self.toString()));
    }

    /** Guards against a slow upstream that each VM has to find out by itself. */
    @Test
    void everyVmOfALargeFleetKnowsTheReportedPace() throws InterruptedException {
        List<Vm> fleet = startFleet(40);
        runFor(Duration.ofMillis(100), fleet);
        fleet.getFirst()
                .tracks
                .of(ENGINE)
                .recordLoad(new ReportedLoad(1, 0, 16, OptionalInt.of(400)), clock.nanoTime());

        runFor(Duration.ofMillis(300), fleet);

        fleet.forEach(vm -> assertTrue(vm.candidate().pace() > 2, vm.self + " " + vm.candidate()));
    }

    /** Starts VMs in four zones, with the two of each test removed. */
    private List<Vm> startFleet(int vms) {
        hub.remove(first.self.vm());
        hub.remove(second.self.vm());
        List<Vm> fleet = new ArrayList<>();
        for (int index = 0; index < vms; index++) {
            Vm vm = new Vm("fleet-" + index, "zone-" + index % 4);
            vm.tracks.of(ENGINE);
            fleet.add(vm);
        }
        return fleet;
    }

    private void runFor(Duration time, List<Vm> fleet) throws InterruptedException {
        for (Duration elapsed = Duration.ZERO;
                elapsed.compareTo(time) < 0;
                elapsed = elapsed.plus(WorkExchange.MINIMUM_INTERVAL)) {
            clock.advance(WorkExchange.MINIMUM_INTERVAL);
            fleet.forEach(Vm::exchangeIfDue);
            Thread.sleep(WorkExchange.MINIMUM_INTERVAL);
        }
    }

    /** Guards against VMs that send to a limited upstream because only another VM has heard of its limit. */
    @ParameterizedTest
    @ValueSource(ints = {2, 40})
    void limitAndItsUseReachAllVms(int count) throws InterruptedException {
        List<Vm> fleet = startFleet(count);
        long sentAt = clock.nanoTime();
        assertTrue(fleet.getFirst().limits.tryTake(ENGINE));
        fleet.getFirst()
                .limits
                .record(
                        ENGINE,
                        new ResponseMetadata(
                                false,
                                false,
                                true,
                                Optional.empty(),
                                Optional.empty(),
                                false,
                                Optional.empty(),
                                OptionalDouble.of(5.3)),
                        "a",
                        sentAt);

        runFor(Duration.ofMillis(300), fleet);

        for (Vm vm : fleet) {
            LimitUse use = vm.limits.uses(peer -> true).getFirst();
            assertEquals(5.3, use.limitPerSecond(), vm.self.toString());
            assertEquals(1, use.windowSends(), vm.self.toString());
            assertEquals(count, vm.fleet.heardVms(peer -> true), vm.self.toString());
        }
    }

    /** Guards against VMs that each use the whole rate limit of an account, since they do not know of other use. */
    @ParameterizedTest
    @ValueSource(ints = {2, 40})
    void useOfAccountLimitsReachesAllVms(int count) throws InterruptedException {
        List<Vm> fleet = startFleet(count);
        runFor(LimitFleet.START_TIME.plusMillis(300), fleet);
        AccountRule account = new AccountRule(
                new ClientAccountId("a"),
                Set.of("key"),
                OptionalInt.empty(),
                Optional.of(new AccountRateLimit(10_000, 10_000, AccountRateLimit.Unit.TOKENS, 0)));
        assertInstanceOf(AccountLimits.Permit.class, fleet.getFirst().accounts.tryTake(account, 700));

        runFor(Duration.ofMillis(400), fleet);

        for (Vm vm : fleet) {
            AccountUse use = vm.accounts.uses(peer -> true).getFirst();
            assertEquals(700, use.windowUnits(), vm.self.toString());
            assertEquals(700, use.askedUnits(), vm.self.toString());
            assertEquals(0, use.silentUnits(), vm.self.toString());
        }
    }

    private void exchange() throws InterruptedException {
        clock.advance(Duration.ofMillis(50));
        first.exchange.exchange();
        second.exchange.exchange();
        Thread.sleep(200);
    }

    /** Fields of messages of work before rates were shared. */
    record EarlierMessage(List<WorkMessage.UpstreamWork> work, int vms) {}

    private final class Vm {
        private final UpstreamTracks tracks = new UpstreamTracks(clock);
        private final LimitFleet fleet;
        private final UpstreamLimits limits;
        private final AccountLimits accounts;
        private final WorkExchange exchange;
        private final ReportedWindows reported = new ReportedWindows();

        private final MetricRegistry metrics = new MetricRegistry();
        private final EngineRates rates = new EngineRates(clock, metrics);
        private final Peer self;
        private long lastExchangeAt;

        Vm(String name, String zone) {
            self = new Peer(new VmId(name), Incarnation.draw(), new AvailabilityZone(zone));
            fleet = new LimitFleet(() -> vms, clock);
            limits = new UpstreamLimits(fleet::sharers, clock, new SplittableRandom(1), metrics);
            accounts = new AccountLimits(
                    AccountLimitRule.DEFAULT, fleet::sharers, clock, new SplittableRandom(1), metrics);
            PeerNetwork network = hub.join(self);
            ConfigurationHolder holder =
                    new ConfigurationHolder(new StoreKey("operator/configuration"), new VersionReader());
            ConfigurationExchange configurations =
                    new ConfigurationExchange(holder, network, new FixedPeers(0), clock, time -> {}, metrics);
            exchange = new WorkExchange(
                    self, network, tracks, limits, rates, accounts, fleet, configurations, reported, clock, metrics);
        }

        void exchangeIfDue() {
            if (clock.since(lastExchangeAt).compareTo(exchange.interval()) >= 0) {
                lastExchangeAt = clock.nanoTime();
                exchange.exchange();
            }
        }

        long handled() {
            return metrics.counter("work_exchange.handled").getCount();
        }

        long requests() {
            return metrics.counter("work_exchange.requests").getCount();
        }

        Candidate candidate() {
            return tracks.candidates(List.of(ENGINE)).getFirst();
        }
    }
}
