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

/** Asks every connected peer for a heartbeat, one task for each, and keeps what they said. */
public final class Heartbeats {

    /** How often a peer is asked. */
    public static final Duration INTERVAL = Duration.ofMillis(500);

    /** Silence after which a peer counts as gone. */
    public static final Duration SILENCE_LIMIT = Duration.ofSeconds(2);

    private static final Topic TOPIC = new Topic("membership.heartbeat");

    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final Timeline timeline;
    private final Map<VmId, Member> members = new ConcurrentHashMap<>();
    private final Map<VmId, Thread> tasks = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Creates the heartbeats; {@code self} is asked for this VM's own state. */
    Heartbeats(PeerNetwork network, MonotonicClock clock, Timeline timeline, Supplier<HeartbeatMessage> self) {
        this.network = network;
        this.clock = clock;
        this.timeline = timeline;
        network.handle(TOPIC, (sender, payload) -> HeartbeatMessage.CODEC.encode(self.get()));
    }

    /** Starts to ask; new peers are found as they connect. */
    void start() {
        Thread.ofVirtual().name("heartbeats").start(this::findPeers);
    }

    void stop() {
        stopped = true;
        tasks.values().forEach(Thread::interrupt);
    }

    /** Returns the members heard within the silence limit. */
    List<Member> alive() {
        return members.values().stream().filter(this::isFresh).toList();
    }

    private boolean isFresh(Member member) {
        return clock.since(member.heardAt()).compareTo(SILENCE_LIMIT) <= 0;
    }

    private void findPeers() {
        try {
            while (!stopped) {
                for (Peer peer : network.peers()) {
                    tasks.computeIfAbsent(
                            peer.vm(),
                            vm -> Thread.ofVirtual().name("heartbeat-" + vm).start(() -> ask(vm)));
                }
                Thread.sleep(INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(VmId vm) {
        try {
            while (!stopped && isKnown(vm)) {
                askOnce(vm);
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

    private boolean isKnown(VmId vm) {
        Member member = members.get(vm);
        return (member != null && isFresh(member))
                || network.peers().stream().anyMatch(peer -> peer.vm().equals(vm));
    }

    private void askOnce(VmId vm) {
        long askedAt = clock.nanoTime();
        try {
            HeartbeatMessage answer =
                    HeartbeatMessage.CODEC.decode(network.request(vm, TOPIC, new byte[0], SILENCE_LIMIT));
            network.peers().stream()
                    .filter(peer -> peer.vm().equals(vm))
                    .findFirst()
                    .ifPresent(peer -> store(new Member(
                            peer,
                            new InetSocketAddress(answer.callersHost(), answer.callersPort()),
                            answer.draining(),
                            askedAt)));
        } catch (PeerException silent) {
            // A peer that stays silent is dropped by its age; the network logs why a connection ended.
        }
    }

    private void store(Member member) {
        if (members.put(member.peer().vm(), member) == null) {
            timeline.record(
                    EventKind.PEER_JOINED, EventField.of("peer", member.peer().vm()));
        }
    }
}
