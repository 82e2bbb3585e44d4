package io.banyantally.internal.membership;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.VmId;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Requests heartbeats from every connected peer, with one task per peer, and keeps the latest answers. */
public final class Heartbeats {

    /** Pause between two heartbeat requests to a peer. */
    public static final Duration INTERVAL = Duration.ofMillis(500);

    /** Timeout of a request, and age of the last answer above which a peer counts as lost. */
    public static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(2);

    private static final Topic TOPIC = new Topic("membership.heartbeat");

    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Map<VmId, Member> members = new ConcurrentHashMap<>();
    private final Map<VmId, Thread> tasks = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Creates the heartbeats; {@code self} supplies this VM's own answer. */
    Heartbeats(PeerNetwork network, MonotonicClock clock, Timeline timeline, Supplier<HeartbeatMessage> self) {
        this.network = network;
        this.clock = clock;
        this.timeline = timeline;
        network.handle(TOPIC, (sender, payload) -> HeartbeatMessage.CODEC.encode(self.get()));
    }

    /** Starts heartbeats; peers that connect later are included. */
    void start() {
        Thread.ofVirtual().name("heartbeats").start(this::startTasksForNewPeers);
    }

    void stop() {
        stopped = true;
        tasks.values().forEach(Thread::interrupt);
    }

    /** Returns the members that answered within the heartbeat timeout. */
    List<Member> alive() {
        return members.values().stream().filter(this::isAlive).toList();
    }

    private boolean isAlive(Member member) {
        return clock.since(member.lastHeartbeatNanos()).compareTo(HEARTBEAT_TIMEOUT) <= 0;
    }

    private void startTasksForNewPeers() {
        try {
            while (!stopped) {
                for (Peer peer : network.peers()) {
                    tasks.computeIfAbsent(
                            peer.vm(),
                            vm -> Thread.ofVirtual().name("heartbeat-" + vm).start(() -> sendHeartbeats(vm)));
                }
                Thread.sleep(INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendHeartbeats(VmId vm) {
        try {
            while (!stopped && isAliveOrConnected(vm)) {
                sendHeartbeat(vm);
                Thread.sleep(INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            tasks.remove(vm);
            if (members.remove(vm) != null) {
                timeline.record(EventKind.PEER_LOST, EventField.of("peer", vm));
            }
        }
    }

    private boolean isAliveOrConnected(VmId vm) {
        Member member = members.get(vm);
        return (member != null && isAlive(member))
                || network.peers().stream().anyMatch(peer -> peer.vm().equals(vm));
    }

    private void sendHeartbeat(VmId vm) {
        long requestedAtNanos = clock.nanoTime();
        try {
            HeartbeatMessage answer =
                    HeartbeatMessage.CODEC.decode(network.request(vm, TOPIC, new byte[0], HEARTBEAT_TIMEOUT));
            network.peers().stream()
                    .filter(peer -> peer.vm().equals(vm))
                    .findFirst()
                    .ifPresent(peer -> recordMember(new Member(
                            peer,
                            new InetSocketAddress(answer.callersHost(), answer.callersPort()),
                            answer.draining(),
                            requestedAtNanos)));
        } catch (PeerException unanswered) {
            // A peer without answers is removed after the timeout; the network logs why a connection ended.
        }
    }

    private void recordMember(Member member) {
        if (members.put(member.peer().vm(), member) == null) {
            timeline.record(
                    EventKind.PEER_JOINED, EventField.of("peer", member.peer().vm()));
        }
    }
}
