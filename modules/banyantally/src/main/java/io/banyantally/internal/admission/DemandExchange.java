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

/** Tells peers the demand on this VM, hears theirs, and sets this VM's shares of limits and of upstreams. */
final class DemandExchange {
    /** Shares follow a swing within a few rounds; the messages stay small against the calls that they govern. */
    static final Duration INTERVAL = Duration.ofMillis(500);

    private static final Topic TOPIC = new Topic("admission.demand");
    private static final MessagePackCodec<DemandMessage> CODEC = MessagePackCodec.of(DemandMessage.class);
    private static final Duration TIMEOUT = Duration.ofMillis(200);
    private static final double NANOS_PER_SECOND = 1e9;

    /** After a request or a change of share an account is told for this long; then peers keep the last message. */
    private static final Duration TELL_FOR = Duration.ofSeconds(30);

    /** The part of an even share of the upstreams that a VM keeps without demand, so that it can begin at once. */
    private static final double IDLE_PART = 0.3;

    private final VmId self;
    private final MonotonicClock clock;
    private final ConfigurationView configuration;
    private final PeerNetwork peers;
    private final Map<ClientAccountId, AccountState> accounts;
    private final Map<ServiceName, ServiceGate> gates;
    private final AccountShares shares = new AccountShares();
    private final Map<VmId, Map<String, Double>> serviceDemands = new ConcurrentHashMap<>();
    private final Set<Peer> told = ConcurrentHashMap.newKeySet();
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
            heard(sender.vm(), CODEC.decode(payload));
            return CODEC.encode(message(sender));
        });
    }

    /** Returns the share of a limit that a VM may use before it has heard from any peer. */
    double initialShare() {
        return 1.0 / vms();
    }

    private int vms() {
        return Math.max(1, configuration.current().roster().size());
    }

    /** Exchanges demand with each peer and sets the shares. */
    synchronized void round() {
        long now = clock.nanoTime();
        double seconds = Math.max(1e-3, (now - lastRound) / NANOS_PER_SECOND);
        lastRound = now;
        Map<ServiceName, Double> demands = new HashMap<>();
        gates.forEach((service, gate) -> demands.put(service, gate.foldDemand(seconds)));
        ownDemands = Map.copyOf(demands);
        Set<VmId> roster = new HashSet<>(configuration.current().roster());
        roster.remove(self);
        boolean complete = askAll().containsAll(roster);
        shares.keepOnly(roster);
        told.retainAll(peers.peers());
        serviceDemands.keySet().retainAll(roster);
        int vms = vms();
        accounts.forEach((id, account) ->
                account.setShare(shares.next(id, account.share(), account.demand(now), vms, complete), now));
        gates.forEach((service, gate) -> gate.setShare(serviceShare(service, vms)));
    }

    private Set<VmId> askAll() {
        Set<VmId> answered = new HashSet<>();
        for (Peer peer : peers.peers()) {
            try {
                heard(peer.vm(), CODEC.decode(peers.request(peer.vm(), TOPIC, CODEC.encode(message(peer)), TIMEOUT)));
                answered.add(peer.vm());
            } catch (PeerException unreachable) {
                // The peer's last message stays in force, and without its answer no share is raised.
                answered.remove(peer.vm());
            }
        }
        return answered;
    }

    private double serviceShare(ServiceName service, int vms) {
        double own = ownDemands.getOrDefault(service, 0.0);
        double total = own;
        for (Map<String, Double> demands : serviceDemands.values()) {
            total += demands.getOrDefault(service.value(), 0.0);
        }
        double idle = IDLE_PART / vms;
        return total <= 0 ? 1.0 / vms : idle + (1 - IDLE_PART) * own / total;
    }

    private void heard(VmId peer, DemandMessage message) {
        for (AccountClaim claim : message.accounts()) {
            ClientAccountId id = new ClientAccountId(claim.account());
            shares.heard(peer, id, new AccountShares.Claim(claim.share(), claim.demand()));
            // A VM takes part in sharing out every account that is in use anywhere, so that it can give up its share.
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
        boolean all = told.add(receiver);
        List<AccountClaim> claims = new ArrayList<>();
        accounts.forEach((id, account) -> {
            if (all || now - account.lastChange() < TELL_FOR.toNanos()) {
                claims.add(new AccountClaim(id.value(), account.share(), account.demand(now)));
            }
        });
        List<ServiceDemand> demands = new ArrayList<>();
        ownDemands.forEach((service, demand) -> demands.add(new ServiceDemand(service.value(), demand)));
        return new DemandMessage(claims, demands);
    }
}
