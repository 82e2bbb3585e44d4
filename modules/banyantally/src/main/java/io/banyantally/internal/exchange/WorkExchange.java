package io.banyantally.internal.exchange;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.duty.ReportedWindows;
import io.banyantally.internal.exchange.WorkMessage.UpstreamWork;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.EngineRates;
import io.banyantally.internal.placement.Pace;
import io.banyantally.internal.placement.RateReport;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Exchanges the work that VMs have at upstreams.
 *
 * <p>Placement needs this, since engines do not report their queue of prompts and a VM alone sees a sixth of it or
 * less. Without the exchange, all VMs together would fill a queue before any of them notices.
 *
 * <p>In a small fleet each pair of VMs exchanges its work; the VM with the lower id sends the request. That grows with
 * the square of the fleet, so in a larger one each VM exchanges with the delegate of its zone only, and the delegates
 * exchange the sums of their zones.
 */
public final class WorkExchange {

    /** In this time, the queue of an engine changes by a few prompts. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(20);

    /** The interval grows with the number of peers, so that a VM sends at most a few hundred requests a second. */
    static final Duration INTERVAL_PER_PEER = Duration.ofMillis(4);

    /** A delegate serves one request in this time for each VM of its zone, on a fraction of a core. */
    static final Duration MEMBER_INTERVAL = Duration.ofMillis(100);

    /** Delegates are few, and what they know is as old as the sum of both intervals. */
    static final Duration DELEGATE_INTERVAL = Duration.ofMillis(40);

    /**
     * How often a pair of VMs, or a delegate and a VM of its zone, tell each other the measured rates of engines. Rates
     * change more slowly than work, and a VM sends up to hundreds of messages a second.
     */
    static final Duration RATES_INTERVAL = Duration.ofMillis(200);

    private static final Topic PAIR_TOPIC = new Topic("gateway.work");
    private static final Topic MEMBER_TOPIC = new Topic("gateway.work.member");
    private static final Topic ZONE_TOPIC = new Topic("gateway.work.zone");

    /** The sender under which the work of all other VMs is kept, as last received from a delegate. */
    private static final VmId ALL_OTHERS = new VmId("all-other-vms");

    /** The work in a later answer would be outdated. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    private final Peer self;
    private final PeerNetwork peers;
    private final ZoneDelegates delegates;
    private final UpstreamTracks tracks;
    private final UpstreamLimits limits;
    private final EngineRates rates;
    private final AccountLimits accounts;
    private final LimitFleet fleet;
    private final ConfigurationExchange configurations;
    private final ReportedWindows reported;
    private final MonotonicClock clock;
    private final Map<VmId, Long> ratesToldAt = new ConcurrentHashMap<>();
    private final Set<VmId> pendingPeers = ConcurrentHashMap.newKeySet();
    private final Counter unanswered;
    private final Counter requests;
    private final Counter handled;
    private volatile Duration interval = MINIMUM_INTERVAL;

    /** Creates the exchange and handles the requests of peers. */
    public WorkExchange(
            Peer self,
            PeerNetwork peers,
            UpstreamTracks tracks,
            UpstreamLimits limits,
            EngineRates rates,
            AccountLimits accounts,
            LimitFleet fleet,
            ConfigurationExchange configurations,
            ReportedWindows reported,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.self = self;
        this.peers = peers;
        this.delegates = new ZoneDelegates(self, peers, clock, "work");
        this.tracks = tracks;
        this.limits = limits;
        this.rates = rates;
        this.accounts = accounts;
        this.fleet = fleet;
        this.configurations = configurations;
        this.reported = reported;
        this.clock = clock;
        this.unanswered = metrics.counter("work_exchange.unanswered");
        this.requests = metrics.counter("work_exchange.requests");
        this.handled = metrics.counter("work_exchange.handled");
        handle(PAIR_TOPIC, sender -> ownWork(Optional.of(sender)));
        handle(MEMBER_TOPIC, sender -> workOf(Optional.of(sender), vm -> !vm.equals(sender) && !vm.equals(ALL_OTHERS)));
        handle(ZONE_TOPIC, sender -> workOf(Optional.empty(), ownZone()));
    }

    /** Receives the work of the sender, and answers with the work that {@code answer} returns for it. */
    private void handle(Topic topic, Function<VmId, WorkMessage> answer) {
        peers.handle(topic, (sender, payload) -> {
            handled.inc();
            receive(sender.vm(), sender.vm(), WorkMessageCodec.decode(payload));
            return WorkMessageCodec.encode(answer.apply(sender.vm()));
        });
    }

    /** Returns the time until the next call of {@link #exchange}. */
    public Duration interval() {
        return interval;
    }

    /** Sends the requests of one round, each in its own thread. */
    public void exchange() {
        List<Peer> connected = peers.peers();
        if (connected.size() + 1 < ZoneDelegates.MINIMUM_VMS) {
            interval = pairInterval(connected.size());
            requestFromHigherIds(connected.stream().map(Peer::vm), PAIR_TOPIC, () -> ownWork(Optional.of(self.vm())));
            return;
        }
        Optional<VmId> delegate = delegates.ofOwnZone();
        if (delegate.isPresent()) {
            interval = MEMBER_INTERVAL;
            requestInBackground(
                    delegate.get(), MEMBER_TOPIC, WorkMessageCodec.encode(ownWork(Optional.empty())), ALL_OTHERS);
        } else {
            interval = DELEGATE_INTERVAL;
            requestFromHigherIds(
                    delegates.ofOtherZones().stream(), ZONE_TOPIC, () -> workOf(Optional.empty(), ownZone()));
        }
    }

    private static Duration pairInterval(int peerCount) {
        Duration proportional = INTERVAL_PER_PEER.multipliedBy(peerCount);
        return proportional.compareTo(MINIMUM_INTERVAL) < 0 ? MINIMUM_INTERVAL : proportional;
    }

    /** Of each pair, the VM with the lower id sends the request; the message is built only if there is a receiver. */
    private void requestFromHigherIds(Stream<VmId> others, Topic topic, Supplier<WorkMessage> message) {
        List<VmId> receivers =
                others.filter(peer -> self.vm().compareTo(peer) < 0).toList();
        if (!receivers.isEmpty()) {
            byte[] encoded = WorkMessageCodec.encode(message.get());
            receivers.forEach(peer -> requestInBackground(peer, topic, encoded, peer));
        }
    }

    private void requestInBackground(VmId peer, Topic topic, byte[] message, VmId owner) {
        if (pendingPeers.add(peer)) {
            Thread.ofVirtual().name("work-exchange").start(() -> requestWork(peer, topic, message, owner));
        }
    }

    private void requestWork(VmId peer, Topic topic, byte[] message, VmId owner) {
        requests.inc();
        try {
            receive(peer, owner, WorkMessageCodec.decode(peers.request(peer, topic, message, TIMEOUT)));
        } catch (PeerException unreachable) {
            // The peer's last message is used until it is too old.
            unanswered.inc();
            delegates.recordFailure(peer);
        } finally {
            pendingPeers.remove(peer);
        }
    }

    private Predicate<VmId> ownZone() {
        Set<VmId> members = peers.peers().stream()
                .filter(peer -> peer.zone().equals(self.zone()))
                .map(Peer::vm)
                .collect(Collectors.toSet());
        return members::contains;
    }

    /** Returns the work of this VM and of the peers that {@code included} accepts, summed by upstream. */
    private WorkMessage workOf(Optional<VmId> ratesOnceFor, Predicate<VmId> included) {
        long now = clock.nanoTime();
        return message(
                track -> track.workWithPeers(included, now),
                track -> track.knownAvoidance(now),
                track -> track.paceReport(now),
                included,
                ratesOnceFor,
                now);
    }

    private WorkMessage ownWork(Optional<VmId> ratesOnceFor) {
        long now = clock.nanoTime();
        return message(
                UpstreamTrack::ownWork,
                track -> track.ownAvoidance(now),
                track -> track.ownPaceReport(now),
                vm -> false,
                ratesOnceFor,
                now);
    }

    private WorkMessage message(
            Function<UpstreamTrack, UpstreamTrack.Work> workAt,
            Function<UpstreamTrack, Duration> avoidanceOf,
            Function<UpstreamTrack, Optional<Pace.Report>> paceOf,
            Predicate<VmId> included,
            Optional<VmId> ratesOnceFor,
            long now) {
        List<UpstreamWork> work = new ArrayList<>();
        for (UpstreamTrack track : tracks.all()) {
            UpstreamTrack.Work atUpstream = workAt.apply(track);
            long refusingMillis = avoidanceOf.apply(track).toMillis();
            Optional<Pace.Report> pace = paceOf.apply(track);
            if (atUpstream.requests() > 0 || refusingMillis > 0 || pace.isPresent()) {
                work.add(new UpstreamWork(
                        track.entry().id().value(),
                        atUpstream.requests(),
                        atUpstream.millis(),
                        refusingMillis,
                        pace.map(Pace.Report::percent).orElse(0),
                        pace.map(report -> Duration.ofNanos(now - report.at()).toMillis())
                                .orElse(0L)));
            }
        }
        OptionalLong window = reported.newest();
        return new WorkMessage(
                work,
                limits.uses(included),
                fleet.heardVms(included),
                configurations.version(),
                window.isPresent() ? Optional.of(window.getAsLong()) : Optional.empty(),
                ratesFor(ratesOnceFor, included, now),
                accounts.uses(included));
    }

    /** Returns the measured rates; none if a message for the VM, if there is one, has had them within the interval. */
    private RateReport ratesFor(Optional<VmId> ratesOnceFor, Predicate<VmId> included, long now) {
        if (ratesOnceFor.isPresent()) {
            Long toldAt = ratesToldAt.get(ratesOnceFor.get());
            if (toldAt != null && now - toldAt < RATES_INTERVAL.toNanos()) {
                return RateReport.NONE;
            }
            ratesToldAt.put(ratesOnceFor.get(), now);
        }
        return rates.rates(included);
    }

    private void receive(VmId sender, VmId owner, WorkMessage message) {
        message.configuration().ifPresent(version -> configurations.recordHeard(sender, version));
        message.reportedWindow().ifPresent(reported::record);
        fleet.recordHeard(owner, message.vms());
        limits.receive(owner, message.limits());
        if (!message.rates().isEmpty()) {
            rates.receive(owner, message.rates());
        }
        accounts.receive(owner, message.accounts());
        Map<String, UpstreamWork> byUpstream = new HashMap<>();
        message.work().forEach(work -> byUpstream.put(work.upstream(), work));
        long now = clock.nanoTime();
        for (UpstreamTrack track : tracks.all()) {
            UpstreamWork work = byUpstream.get(track.entry().id().value());
            track.setPeerWork(owner, work == null ? 0 : work.requests(), work == null ? 0 : work.millis(), now);
            if (work != null) {
                track.recordPeerObservation(
                        Duration.ofMillis(work.refusingMillis()),
                        work.workTime(now),
                        ThreadLocalRandom.current().nextDouble(),
                        now);
            }
        }
    }
}
