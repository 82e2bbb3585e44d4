package io.banyantally.internal.routing;

import io.banyantally.internal.authority.Authority;
import io.banyantally.internal.configuration.ReaderChoice;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.peer.Topic;
import io.banyantally.internal.routing.HoldReport.HeldWork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Holds upstreams at every VM while the owner of a scope changes them or gives them back. The owner tells its peers; every
 * VM also compares its holds with the readers of its zone, which tell the owner who holds what. So a VM that the owner
 * can't reach still gets the hold, and its confirmation, over a third one.
 *
 * <p>A silent VM that is still listed blocks a change. That it hears nothing from the owner does not show that it sends no
 * work: it may hold a proof from the platform, and open routes need none.
 */
public final class UpstreamHolds {

    /** Longer than a lease and the takeover wait together, so that a successor renews a hold before it ends. */
    static final Duration TIME_TO_LIVE = Duration.ofSeconds(15);

    static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

    /** How often the owner tells its peers until all have confirmed. */
    static final Duration TELL_INTERVAL = Duration.ofMillis(300);

    /** How often a VM compares its holds with one reader of its zone. */
    static final Duration COMPARE_INTERVAL = Duration.ofMillis(900);

    /** A hold whose upstream is listed no more ends after this; an upstream that was given back is not changed again. */
    static final Duration UNLISTED_LIMIT = Duration.ofSeconds(30);

    private static final Topic TOPIC = new Topic("routing.hold");
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final Duration TICK = Duration.ofMillis(100);

    private final Peer self;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final HoldTable table;
    private final UpstreamGate gate;
    private final Supplier<Optional<Set<VmId>>> entryVms;
    private final Duration drainLimit;
    private final CollectedReports reports;
    private final Map<HoldKey, OwnedHold> owned = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean untold;
    private volatile boolean stopped;
    private volatile Thread task;
    private long nextTell;
    private long nextCompare;
    private int turn;

    /**
     * Creates the holds and answers the peers; nothing is told before {@link #start()}.
     *
     * @param entryVms the entry VMs that the platform lists; empty while no list is known
     * @param drainLimit how long running work is waited for; afterwards it is cut and resumed elsewhere
     */
    public UpstreamHolds(
            Peer self,
            PeerNetwork network,
            MonotonicClock clock,
            HoldTable table,
            UpstreamGate gate,
            Supplier<Optional<Set<VmId>>> entryVms,
            Duration drainLimit) {
        this.self = self;
        this.network = network;
        this.clock = clock;
        this.table = table;
        this.gate = gate;
        this.entryVms = entryVms;
        this.drainLimit = drainLimit;
        this.reports = new CollectedReports(clock);
        this.nextTell = clock.nanoTime();
        this.nextCompare = clock.nanoTime();
        network.handle(TOPIC, this::answer);
    }

    /** Starts to tell and to compare. */
    public void start() {
        task = Thread.ofVirtual().name("upstream-holds").start(this::run);
    }

    /** Stops; what this VM's owners held ends by itself unless a successor renews it. */
    public void stop() {
        stopped = true;
        Thread running = task;
        if (running != null) {
            running.interrupt();
        }
    }

    /** Returns the listener for one ownership of a scope; pass it to the order task that runs under this authority. */
    public UpstreamChangeListener ownedBy(Authority authority) {
        return new OwnedHolds(this, authority);
    }

    private void run() {
        try {
            while (!stopped) {
                step();
                Thread.sleep(TICK);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Holds an upstream, or keeps holding it; returns whether nobody sends it work and its running work is off. */
    boolean prepare(Authority authority, UpstreamId upstream) {
        HoldKey key = new HoldKey(authority.scope().name(), upstream);
        long fencingNumber = authority.fencingNumber().value();
        OwnedHold hold = owned.get(key);
        if (hold == null || hold.fencingNumber() != fencingNumber) {
            long now = clock.nanoTime();
            long first = nextSequence();
            hold = new OwnedHold(authority, fencingNumber, first, now, now, false);
            if (!table.put(key, new Hold(fencingNumber, first, true, now + TIME_TO_LIVE.toNanos()))) {
                return false;
            }
            owned.put(key, hold);
            untold = true;
            return false;
        }
        boolean ready = authority.isGranted() && isReady(key, hold);
        owned.replace(key, hold, hold.withReady(ready));
        return ready;
    }

    /** Ends a hold of this VM's owner. */
    void end(Authority authority, UpstreamId upstream) {
        HoldKey key = new HoldKey(authority.scope().name(), upstream);
        OwnedHold hold = owned.remove(key);
        if (hold != null && authority.isGranted()) {
            table.put(key, table.end(hold.fencingNumber(), nextSequence()));
            untold = true;
        }
    }

    private long nextSequence() {
        return sequence.incrementAndGet();
    }

    private boolean isReady(HoldKey key, OwnedHold hold) {
        long now = clock.nanoTime();
        Hold word = table.get(key);
        if (word == null
                || !word.held()
                || word.fencingNumber() != hold.fencingNumber()
                || word.isExpired(now)
                || table.knowsLaterOwner(key.scope(), hold.fencingNumber())) {
            return false;
        }
        boolean mayCut = now - hold.since() >= drainLimit.toNanos();
        if (network.peers().stream().anyMatch(peer -> reports.isOfAnotherLife(peer.vm(), peer.incarnation()))) {
            // A VM that started again has not confirmed anything yet.
            return false;
        }
        return (mayCut || gate.running(key.upstream()) == 0)
                && senders()
                        .map(vms -> vms.stream().allMatch(vm -> isOff(vm, key, hold, mayCut)))
                        .orElse(false);
    }

    private boolean isOff(VmId vm, HoldKey key, OwnedHold hold, boolean mayCut) {
        HeldWork work = reports.held(vm, key);
        return work != null
                && work.fencingNumber() == hold.fencingNumber()
                && work.sequence() >= hold.firstSequence()
                && (mayCut || work.running() == 0);
    }

    /** Returns the VMs that may send work: listed, connected or heard of lately; empty while no list is known. */
    private Optional<Set<VmId>> senders() {
        return entryVms.get().map(listed -> {
            Set<VmId> vms = new HashSet<>(listed);
            vms.addAll(reports.recentSenders());
            for (Peer peer : network.peers()) {
                vms.add(peer.vm());
            }
            vms.remove(self.vm());
            return vms;
        });
    }

    /** Renews, tells and compares what is due. */
    void step() {
        renewOwned();
        long now = clock.nanoTime();
        boolean unsure = !table.isSynced() || table.hasExpired();
        boolean awaits = owned.values().stream().anyMatch(hold -> !hold.ready());
        boolean tells = untold || (awaits && now - nextTell >= 0);
        if (unsure || tells) {
            untold = false;
            nextTell = now + TELL_INTERVAL.toNanos();
            List<Peer> peers = network.peers();
            boolean allAnswered = exchangeWithAll(peers, awaits);
            boolean isAlone = entryVms.get().map(vms -> isOnly(vms)).orElse(false);
            if (unsure && allAnswered && (!peers.isEmpty() || isAlone)) {
                table.dropExpired(now);
                table.setSynced();
            }
        } else if (now - nextCompare >= 0) {
            nextCompare = now + COMPARE_INTERVAL.toNanos();
            compareWithReader();
        }
    }

    private boolean isOnly(Set<VmId> vms) {
        return vms.stream().allMatch(self.vm()::equals);
    }

    private void renewOwned() {
        long now = clock.nanoTime();
        owned.forEach((key, hold) -> {
            if (!hold.authority().isGranted()) {
                owned.remove(key, hold);
            } else if (!gate.isListed(key.upstream()) && now - hold.since() >= UNLISTED_LIMIT.toNanos()) {
                end(hold.authority(), key.upstream());
            } else if (now - hold.renewedAt() >= RENEWAL_INTERVAL.toNanos()) {
                Hold word = new Hold(hold.fencingNumber(), nextSequence(), true, now + TIME_TO_LIVE.toNanos());
                if (owned.replace(key, hold, hold.renewed(now)) && table.put(key, word)) {
                    untold = true;
                }
            }
        });
    }

    private boolean exchangeWithAll(List<Peer> peers, boolean wantsReports) {
        List<Thread> tasks = new ArrayList<>();
        Set<VmId> answered = ConcurrentHashMap.newKeySet();
        for (Peer peer : peers) {
            tasks.add(Thread.ofVirtual().start(() -> {
                if (exchange(peer, wantsReports)) {
                    answered.add(peer.vm());
                }
            }));
        }
        try {
            for (Thread running : tasks) {
                running.join();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        }
        return answered.size() == peers.size();
    }

    private void compareWithReader() {
        List<Peer> live = new ArrayList<>(network.peers());
        live.add(self);
        Set<VmId> readers = ReaderChoice.readers(self.zone(), live);
        List<Peer> sources = live.stream()
                .filter(peer -> readers.contains(peer.vm()) && !peer.vm().equals(self.vm()))
                .toList();
        if (!sources.isEmpty()) {
            exchange(sources.get(Math.floorMod(turn++, sources.size())), false);
        }
    }

    private boolean exchange(Peer peer, boolean wantsReports) {
        try {
            HoldMessage message = new HoldMessage(wantsReports, table.rows(), List.of(ownReport()));
            HoldMessage answer = HoldMessage.CODEC.decode(
                    network.request(peer.vm(), TOPIC, HoldMessage.CODEC.encode(message), TIMEOUT));
            take(peer, answer);
            return true;
        } catch (PeerException | IllegalArgumentException unreachable) {
            // It is asked again in the next round, and blocks a change until it or a third VM answers.
            return false;
        }
    }

    private byte[] answer(Peer sender, byte[] payload) throws PeerException {
        HoldMessage question = HoldMessage.CODEC.decode(payload);
        take(sender, question);
        List<HoldReport> told = new ArrayList<>();
        told.add(ownReport());
        if (question.wantsReports()) {
            told.addAll(reports.toPassOn());
        }
        return HoldMessage.CODEC.encode(new HoldMessage(false, table.rows(), told));
    }

    private void take(Peer sender, HoldMessage message) {
        table.merge(message.rows());
        for (HoldReport report : message.reports()) {
            if (!report.vm().equals(self.vm().value())) {
                reports.take(report, report.vm().equals(sender.vm().value()));
            }
        }
    }

    private HoldReport ownReport() {
        return new HoldReport(self.vm().value(), self.incarnation().toString(), table.report(gate::running));
    }
}
