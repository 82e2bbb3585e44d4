package io.banyantally.internal.timeline;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Gathers the recent events of all peers and merges them with this VM's own. Peers that do not answer are left out. */
public final class TimelineGatherer {

    private static final Topic TOPIC = new Topic("timeline.read");
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** Keeps an answer well below the payload limit of a peer message. */
    private static final int EVENTS_PER_ANSWER = 2_500;

    private final Timeline own;
    private final PeerNetwork network;

    /** Creates a gatherer and registers the handler that answers other VMs' gatherers. */
    public TimelineGatherer(Timeline own, PeerNetwork network) {
        this.own = own;
        this.network = network;
        network.handle(TOPIC, (sender, payload) -> EventList.CODEC.encode(EventList.of(latest())));
    }

    private List<Event> latest() {
        List<Event> recent = own.recent();
        return recent.subList(Math.max(0, recent.size() - EVENTS_PER_ANSWER), recent.size());
    }

    /** Returns the events of all VMs that answer, merged. */
    public List<Event> gather() throws InterruptedException {
        List<Event> events = new ArrayList<>(own.recent());
        try (ExecutorService tasks = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<List<Event>>> answers = network.peers().stream()
                    .map(peer -> tasks.submit(() -> ask(peer)))
                    .toList();
            for (Future<List<Event>> answer : answers) {
                events.addAll(answer.get());
            }
        } catch (ExecutionException failed) {
            throw new IllegalStateException("gathering events failed", failed);
        }
        return TimelineMerger.merge(events);
    }

    private List<Event> ask(Peer peer) {
        try {
            return EventList.CODEC
                    .decode(network.request(peer.vm(), TOPIC, new byte[0], TIMEOUT))
                    .toEvents();
        } catch (PeerException | IllegalArgumentException unavailable) {
            return List.of();
        }
    }
}
