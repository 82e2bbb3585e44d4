package io.banyantally.internal.membership;

import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.PlatformException;
import io.banyantally.platform.VmDirectory;
import io.banyantally.platform.VmKind;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Keeps the platform's list of VMs up to date. In each zone two VMs, the readers, poll the platform; the other VMs
 * request changes from the readers of their zone in turn. Every VM answers from the freshest list it knows and sends
 * the list's age, so an older list never replaces a fresher one. A VM without a fresh list asks any peer and then polls
 * the platform itself; while no VM can reach the platform, the last list stays in use.
 */
public final class DirectorySynchronizer {

    /** How often a reader polls the platform. */
    static final Duration PLATFORM_POLL_INTERVAL = Duration.ofMillis(500);

    /** How often a VM requests changes from one of two readers. If one is down, a change still arrives in 2 s. */
    static final Duration PEER_REQUEST_INTERVAL = Duration.ofMillis(600);

    /** Age of the list above which a VM requests changes from any peer, because its readers are unreachable. */
    static final Duration ANY_PEER_FALLBACK_AGE = Duration.ofMillis(1_500);

    /** Age of the list above which a VM that is not a reader polls the platform itself. */
    static final Duration PLATFORM_FALLBACK_AGE = Duration.ofSeconds(3);

    /** Average time between polls by a VM that is not a reader, so that an outage does not multiply the calls. */
    static final Duration FALLBACK_POLL_INTERVAL = Duration.ofSeconds(2);

    private static final EventLog LOG = EventLog.of(DirectorySynchronizer.class);
    private static final Topic TOPIC = new Topic("membership.directory");
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(50);

    /** Pages of a list that are requested from a peer in one step; 20 pages hold 40,000 entries. */
    private static final int MAXIMUM_PAGES_PER_STEP = 20;

    /** Copies of peers' lists kept so that only changes are requested; each takes as much memory as the list. */
    private static final int MAXIMUM_MIRRORS = 4;

    private final Peer self;
    private final PeerNetwork network;
    private final VmDirectory directory;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final DirectoryChangeLog changeLog;
    private final Map<VmId, DirectoryMirror> mirrors = new HashMap<>();
    private final List<Consumer<List<DirectoryEntry>>> listeners = new CopyOnWriteArrayList<>();
    private DirectoryMirror adoptedMirror;
    private int nextSourceIndex;
    private long nextPollNanos;
    private long nextPeerRequestNanos;
    private boolean platformFailing;
    private volatile Thread task;
    private volatile boolean stopped;

    /** Creates the instance and answers requests of peers; it polls nothing before {@link #start()}. */
    public DirectorySynchronizer(
            Peer self, PeerNetwork network, VmDirectory directory, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.network = network;
        this.directory = directory;
        this.clock = clock;
        this.random = random;
        this.changeLog = new DirectoryChangeLog(self.incarnation(), clock);
        this.nextPollNanos = clock.nanoTime();
        this.nextPeerRequestNanos = clock.nanoTime();
        network.handle(
                TOPIC,
                (sender, payload) ->
                        DirectoryAnswer.CODEC.encode(changeLog.answer(DirectoryQuery.CODEC.decode(payload))));
    }

    /** Adds a listener, which is called with the full list after every change, always by the same task. */
    public void addListener(Consumer<List<DirectoryEntry>> listener) {
        listeners.add(listener);
    }

    /** Starts to poll the platform and to request changes from peers. */
    public void start() {
        task = Thread.ofVirtual().name("directory-spread").start(this::run);
    }

    /** Stops polling; requests of peers are still answered from the last list. */
    public void stop() {
        stopped = true;
        Thread running = task;
        if (running != null) {
            running.interrupt();
        }
    }

    /** Returns the freshest known list; empty if none is known. */
    public List<DirectoryEntry> list() {
        return changeLog.list();
    }

    /** Returns the entry VMs of the freshest list; empty if no list is known. */
    public Optional<Set<VmId>> entryVms() {
        if (changeLog.ageNanos() == Long.MAX_VALUE) {
            return Optional.empty();
        }
        return Optional.of(changeLog.list().stream()
                .filter(entry -> entry.kind() == VmKind.ENTRY)
                .map(entry -> new VmId(entry.id()))
                .collect(Collectors.toUnmodifiableSet()));
    }

    /**
     * Returns the time since the platform was asked for the list; {@link Long#MAX_VALUE} nanoseconds if none is known.
     */
    public Duration age() {
        return Duration.ofNanos(changeLog.ageNanos());
    }

    private void run() {
        try {
            while (!stopped) {
                stepAndLogFailure();
                Thread.sleep(STEP_INTERVAL.plusMillis(random.nextInt((int) STEP_INTERVAL.toMillis())));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void stepAndLogFailure() {
        try {
            step();
        } catch (RuntimeException failed) {
            LOG.error("directory_listener_failed", failed);
        }
    }

    /** Polls the platform or requests changes from a peer, if due. */
    void step() {
        List<Peer> live = new ArrayList<>(network.peers());
        Set<VmId> connected = live.stream().map(Peer::vm).collect(Collectors.toSet());
        live.add(self);
        Set<VmId> readers = ReaderChoice.readers(self.zone(), live);
        mirrors.keySet().retainAll(connected);
        long now = clock.nanoTime();
        boolean isReader = readers.contains(self.vm());
        boolean pollsPlatform = isReader || isOlderThan(PLATFORM_FALLBACK_AGE);
        if (pollsPlatform && now - nextPollNanos >= 0) {
            nextPollNanos = now + jitteredNanos(isReader ? PLATFORM_POLL_INTERVAL : FALLBACK_POLL_INTERVAL);
            pollPlatform();
        }
        now = clock.nanoTime();
        if (now - nextPeerRequestNanos >= 0 && (!isReader || isOlderThan(ANY_PEER_FALLBACK_AGE))) {
            nextPeerRequestNanos = now + jitteredNanos(PEER_REQUEST_INTERVAL);
            List<VmId> sources = new ArrayList<>(isOlderThan(ANY_PEER_FALLBACK_AGE) ? connected : readers);
            sources.remove(self.vm());
            if (!sources.isEmpty()) {
                sources.sort(null);
                requestChanges(sources.get(Math.floorMod(nextSourceIndex++, sources.size())));
            }
        }
    }

    private boolean isOlderThan(Duration limit) {
        return changeLog.ageNanos() > limit.toNanos();
    }

    /** Returns a random time from 0.9 to 1.1 times the interval, so that the VMs do not call at the same time. */
    private long jitteredNanos(Duration interval) {
        return (long) (interval.toNanos() * (0.9 + 0.2 * random.nextDouble()));
    }

    private void pollPlatform() {
        long requestedAtNanos = clock.nanoTime();
        try {
            Map<String, DirectoryEntry> polledEntries = new HashMap<>();
            directory.list().forEach(entry -> polledEntries.put(entry.id(), entry));
            platformFailing = false;
            adoptedMirror = null;
            if (changeLog.replaceIfFresher(polledEntries, requestedAtNanos)) {
                notifyListeners();
            }
        } catch (PlatformException failure) {
            if (!platformFailing) {
                LOG.warn("directory_unavailable", EventField.of("reason", failure.getMessage()));
            }
            platformFailing = true;
        }
    }

    private void requestChanges(VmId source) {
        if (mirrors.size() >= MAXIMUM_MIRRORS && !mirrors.containsKey(source)) {
            mirrors.clear();
        }
        DirectoryMirror mirror = mirrors.computeIfAbsent(source, unknown -> new DirectoryMirror());
        boolean changed = false;
        try {
            for (int page = 0; page < MAXIMUM_PAGES_PER_STEP; page++) {
                long requestedAtNanos = clock.nanoTime();
                DirectoryAnswer answer = DirectoryAnswer.CODEC.decode(
                        network.request(source, TOPIC, DirectoryQuery.CODEC.encode(mirror.query()), REQUEST_TIMEOUT));
                if (answer.ageMillis() < 0) {
                    return;
                }
                changed |= mirror.apply(answer);
                if (mirror.isComplete()) {
                    adoptIfFresher(
                            mirror,
                            changed,
                            requestedAtNanos
                                    - Duration.ofMillis(answer.ageMillis()).toNanos());
                    return;
                }
            }
        } catch (PeerException unreachable) {
            // The next request goes to another source; the last list stays in use.
        } catch (IllegalArgumentException unknownKind) {
            mirrors.remove(source);
            LOG.error("directory_answer_unreadable", unknownKind, EventField.of("peer", source));
        }
    }

    private void adoptIfFresher(DirectoryMirror mirror, boolean changed, long readAtNanos) {
        if (mirror.equals(adoptedMirror) && !changed) {
            changeLog.confirmUnchanged(readAtNanos);
            return;
        }
        if (clock.nanoTime() - readAtNanos >= changeLog.ageNanos()) {
            // The mirror may hold changes that the change log lacks, so its next answer is compared in full.
            adoptedMirror = mirror.equals(adoptedMirror) ? null : adoptedMirror;
            return;
        }
        adoptedMirror = mirror;
        if (changeLog.replaceIfFresher(mirror.entries(), readAtNanos)) {
            notifyListeners();
        }
    }

    private void notifyListeners() {
        List<DirectoryEntry> list = changeLog.list();
        listeners.forEach(listener -> listener.accept(list));
    }
}
