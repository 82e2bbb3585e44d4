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
 * Keeps the platform's list of VMs current. Two readers in each zone poll the platform; the other VMs ask the readers of
 * their zone for changes, in turn. Every VM answers from the freshest list it knows, with its age, so an older list never
 * replaces a fresher one. A VM that hears of no fresh list asks any peer, then the platform itself; while nobody can read,
 * the last list stays.
 */
public final class DirectorySpread {

    /** How often a reader polls the platform. */
    static final Duration READ_INTERVAL = Duration.ofMillis(500);

    /** How often a VM asks one of its two readers. With one of them dead, a change still arrives in 2 s. */
    static final Duration ASK_INTERVAL = Duration.ofMillis(600);

    /** A list of this age makes a VM ask any peer, for its readers are cut off. */
    static final Duration ASK_ANYONE_AFTER = Duration.ofMillis(1_500);

    /** A list of this age makes a VM poll the platform itself. */
    static final Duration READ_SELF_AFTER = Duration.ofSeconds(3);

    /** Polls by VMs that are no readers are this far apart on average, so that an outage does not multiply the calls. */
    static final Duration SELF_READ_INTERVAL = Duration.ofSeconds(2);

    private static final EventLog LOG = EventLog.of(DirectorySpread.class);
    private static final Topic TOPIC = new Topic("membership.directory");
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final Duration TICK = Duration.ofMillis(50);

    /** Pages of one list that are read in one round; 20 pages hold 40,000 entries. */
    private static final int PAGES = 20;

    /** Lists of sources that are kept to ask them for changes only; each takes as much memory as the list itself. */
    private static final int MAXIMUM_MIRRORS = 4;

    private final Peer self;
    private final PeerNetwork network;
    private final VmDirectory directory;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final DirectoryLog log;
    private final Map<VmId, DirectoryMirror> mirrors = new HashMap<>();
    private final List<Consumer<List<DirectoryEntry>>> listeners = new CopyOnWriteArrayList<>();
    private DirectoryMirror adopted;
    private int turn;
    private long nextRead;
    private long nextAsk;
    private boolean failing;
    private volatile Thread task;
    private volatile boolean stopped;

    /** Creates the spread and answers the peers that ask; it polls nothing before {@link #start()}. */
    public DirectorySpread(
            Peer self, PeerNetwork network, VmDirectory directory, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.network = network;
        this.directory = directory;
        this.clock = clock;
        this.random = random;
        this.log = new DirectoryLog(self.incarnation(), clock);
        this.nextRead = clock.nanoTime();
        this.nextAsk = clock.nanoTime();
        network.handle(
                TOPIC,
                (sender, payload) -> DirectoryAnswer.CODEC.encode(log.answer(DirectoryQuery.CODEC.decode(payload))));
    }

    /** Adds a listener; it is called with the whole list after every change, by one task. */
    public void addListener(Consumer<List<DirectoryEntry>> listener) {
        listeners.add(listener);
    }

    /** Starts to poll and to ask. */
    public void start() {
        task = Thread.ofVirtual().name("directory-spread").start(this::run);
    }

    /** Stops polling; peers still get the last list. */
    public void stop() {
        stopped = true;
        Thread running = task;
        if (running != null) {
            running.interrupt();
        }
    }

    /** Returns the freshest list that this VM knows. */
    public List<DirectoryEntry> list() {
        return log.list();
    }

    /** Returns the entry VMs of the freshest list; empty if no list is known. */
    public Optional<Set<VmId>> entryVms() {
        if (log.ageNanos() == Long.MAX_VALUE) {
            return Optional.empty();
        }
        return Optional.of(log.list().stream()
                .filter(entry -> entry.kind() == VmKind.ENTRY)
                .map(entry -> new VmId(entry.id()))
                .collect(Collectors.toUnmodifiableSet()));
    }

    /** Returns the time since the platform was asked for the list; very long if no list is known. */
    public Duration age() {
        return Duration.ofNanos(log.ageNanos());
    }

    private void run() {
        try {
            while (!stopped) {
                stepOrLog();
                Thread.sleep(TICK.plusMillis(random.nextInt((int) TICK.toMillis())));
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void stepOrLog() {
        try {
            step();
        } catch (RuntimeException failed) {
            LOG.error("directory_listener_failed", failed);
        }
    }

    /** Polls the platform or asks a peer, where one is due. */
    void step() {
        List<Peer> live = new ArrayList<>(network.peers());
        Set<VmId> connected = live.stream().map(Peer::vm).collect(Collectors.toSet());
        live.add(self);
        Set<VmId> readers = ReaderChoice.readers(self.zone(), live);
        mirrors.keySet().retainAll(connected);
        long now = clock.nanoTime();
        boolean isReader = readers.contains(self.vm());
        boolean readsItself = isReader || isOlderThan(READ_SELF_AFTER);
        if (readsItself && now - nextRead >= 0) {
            nextRead = now + around(isReader ? READ_INTERVAL : SELF_READ_INTERVAL);
            read();
        }
        now = clock.nanoTime();
        if (now - nextAsk >= 0 && (!isReader || isOlderThan(ASK_ANYONE_AFTER))) {
            nextAsk = now + around(ASK_INTERVAL);
            List<VmId> sources = new ArrayList<>(isOlderThan(ASK_ANYONE_AFTER) ? connected : readers);
            sources.remove(self.vm());
            if (!sources.isEmpty()) {
                sources.sort(null);
                ask(sources.get(Math.floorMod(turn++, sources.size())));
            }
        }
    }

    private boolean isOlderThan(Duration limit) {
        return log.ageNanos() > limit.toNanos();
    }

    /** Draws from 0.9 to 1.1 times the interval, so that the VMs do not call at the same time. */
    private long around(Duration interval) {
        return (long) (interval.toNanos() * (0.9 + 0.2 * random.nextDouble()));
    }

    private void read() {
        long askedAt = clock.nanoTime();
        try {
            Map<String, DirectoryEntry> read = new HashMap<>();
            directory.list().forEach(entry -> read.put(entry.id(), entry));
            failing = false;
            adopted = null;
            if (log.offer(read, askedAt)) {
                tell();
            }
        } catch (PlatformException failure) {
            if (!failing) {
                LOG.warn("directory_unavailable", EventField.of("reason", failure.getMessage()));
            }
            failing = true;
        }
    }

    private void ask(VmId source) {
        if (mirrors.size() >= MAXIMUM_MIRRORS && !mirrors.containsKey(source)) {
            mirrors.clear();
        }
        DirectoryMirror mirror = mirrors.computeIfAbsent(source, unknown -> new DirectoryMirror());
        boolean changed = false;
        try {
            for (int page = 0; page < PAGES; page++) {
                long askedAt = clock.nanoTime();
                DirectoryAnswer answer = DirectoryAnswer.CODEC.decode(
                        network.request(source, TOPIC, DirectoryQuery.CODEC.encode(mirror.query()), TIMEOUT));
                if (answer.ageMillis() < 0) {
                    return;
                }
                changed |= mirror.take(answer);
                if (mirror.isComplete()) {
                    adopt(
                            mirror,
                            changed,
                            askedAt - Duration.ofMillis(answer.ageMillis()).toNanos());
                    return;
                }
            }
        } catch (PeerException unreachable) {
            // The next source is asked in the next round; the last list stays.
        } catch (IllegalArgumentException unknownKind) {
            mirrors.remove(source);
            LOG.error("directory_answer_unreadable", unknownKind, EventField.of("peer", source));
        }
    }

    private void adopt(DirectoryMirror mirror, boolean changed, long readAt) {
        if (mirror.equals(adopted) && !changed) {
            log.confirm(readAt);
            return;
        }
        if (clock.nanoTime() - readAt >= log.ageNanos()) {
            // The mirror may hold changes that were not taken over, so its next answer is compared in full.
            adopted = mirror.equals(adopted) ? null : adopted;
            return;
        }
        adopted = mirror;
        if (log.offer(mirror.entries(), readAt)) {
            tell();
        }
    }

    private void tell() {
        List<DirectoryEntry> list = log.list();
        listeners.forEach(listener -> listener.accept(list));
    }
}
