package io.banyantally.internal.admission;

import io.banyantally.internal.admission.DemandMessage.AccountClaim;
import io.banyantally.internal.admission.DemandMessage.ServiceDemand;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationView;
import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Exchanges demand with the peers and sets this VM's shares of account limits and of upstream capacity. */
final class DemandExchange {
    /**
     * Shares follow a load change within a few rounds, while the messages stay small in relation to the requests.
     */
    static final Duration INTERVAL = Duration.ofMillis(500);

    private static final Topic TOPIC = new Topic("admission.demand");
    private static final MessagePackCodec<DemandMessage> CODEC = MessagePackCodec.of(DemandMessage.class);
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * How long after its last request or share change an account is reported; peers keep the last report after that.
     */
    private static final Duration REPORT_AFTER_CHANGE = Duration.ofSeconds(30);

    /**
     * Fraction of an even share of the upstreams that a VM keeps without demand, so that a first request need not wait.
     */
    private static final double IDLE_SHARE_FRACTION = 0.3;

    private final VmId self;
    private final MonotonicClock clock;
    private final ConfigurationView configuration;
    private final PeerNetwork peers;
    private final Map<ClientAccountId, AccountState> accounts;
    private final Map<ServiceName, ServiceGate> gates;
    private final AccountShares shares = new AccountShares();
    private final Map<VmId, Map<String, Double>> serviceDemands = new ConcurrentHashMap<>();
    private final Set<Peer> knownPeers = ConcurrentHashMap.newKeySet();
    private volatile Map<ServiceName, Double> ownDemands = Map.of();
    private long lastRound;

    DemandExchange(
            VmId self,
            MonotonicClock clock,
            ConfigurationView configuration,
            PeerNetwork peers,
            Map<ClientAccountId, AccountState> accounts,
            Map<ServiceName, ServiceGate> gates) {
        this.self = self;
        this.clock = clock;
        this.configuration = configuration;
        this.peers = peers;
        this.accounts = accounts;
        this.gates = gates;
        this.lastRound = clock.nanoTime();
        peers.handle(TOPIC, (sender, payload) -> {
            receive(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message(sender));
        });
    }

    /** Returns the share of a limit that a VM may use before any peer has answered: an even share. */
    double initialShare() {
        return 1.0 / rosterSize();
    }

    private int rosterSize() {
        return Math.max(1, configuration.current().roster().size());
    }

    /** Exchanges demand with each peer once and updates the shares. */
    synchronized void runRound() {
        long now = clock.nanoTime();
        double seconds = Math.max(1e-3, (now - lastRound) / NANOS_PER_SECOND);
        lastRound = now;
        Map<ServiceName, Double> demands = new HashMap<>();
        gates.forEach((service, gate) -> demands.put(service, gate.updateDemand(seconds)));
        ownDemands = Map.copyOf(demands);
        Set<VmId> roster = new HashSet<>(configuration.current().roster());
        roster.remove(self);
        boolean allPeersAnswered = exchangeWithPeers().containsAll(roster);
        shares.retainPeers(roster);
        knownPeers.retainAll(peers.peers());
        serviceDemands.keySet().retainAll(roster);
        int rosterSize = rosterSize();
        accounts.forEach((id, account) -> account.setShare(
                shares.nextShare(id, account.share(), account.demand(now), rosterSize, allPeersAnswered), now));
        gates.forEach((service, gate) -> gate.setShare(serviceShare(service, rosterSize)));
    }

    private Set<VmId> exchangeWithPeers() {
        Set<VmId> answered = new HashSet<>();
        for (Peer peer : peers.peers()) {
            try {
                receive(peer.vm(), CODEC.decode(peers.request(peer.vm(), TOPIC, CODEC.encode(message(peer)), TIMEOUT)));
                answered.add(peer.vm());
            } catch (PeerException unreachable) {
                // The peer's last report stays valid, and no share is raised in a round without its answer.
                answered.remove(peer.vm());
            }
        }
        return answered;
    }

    private double serviceShare(ServiceName service, int rosterSize) {
        double own = ownDemands.getOrDefault(service, 0.0);
        double total = own;
        for (Map<String, Double> demands : serviceDemands.values()) {
            total += demands.getOrDefault(service.value(), 0.0);
        }
        double minimumShare = IDLE_SHARE_FRACTION / rosterSize;
        return total <= 0 ? 1.0 / rosterSize : minimumShare + (1 - IDLE_SHARE_FRACTION) * own / total;
    }

    private void receive(VmId peer, DemandMessage message) {
        for (AccountClaim claim : message.accounts()) {
            ClientAccountId id = new ClientAccountId(claim.account());
            shares.recordClaim(peer, id, new AccountShares.Claim(claim.share(), claim.demand()));
            // Each VM keeps state for every account in use on any VM, so that it can lower its own share of it.
            ClientAccountParameters parameters =
                    configuration.current().accounts().get(id);
            if (parameters != null) {
                accounts.computeIfAbsent(id, unknown -> new AccountState(parameters, initialShare(), clock.nanoTime()));
            }
        }
        Map<String, Double> demands = new HashMap<>();
        message.services().forEach(demand -> demands.put(demand.service(), demand.demand()));
        serviceDemands.put(peer, demands);
    }

    private DemandMessage message(Peer receiver) {
        long now = clock.nanoTime();
        boolean firstReport = knownPeers.add(receiver);
        List<AccountClaim> claims = new ArrayList<>();
        accounts.forEach((id, account) -> {
            if (firstReport || now - account.lastChange() < REPORT_AFTER_CHANGE.toNanos()) {
                claims.add(new AccountClaim(id.value(), account.share(), account.demand(now)));
            }
        });
        List<ServiceDemand> demands = new ArrayList<>();
        ownDemands.forEach((service, demand) -> demands.add(new ServiceDemand(service.value(), demand)));
        return new DemandMessage(claims, demands);
    }
}
