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
 * Holds upstreams on every VM while the owner of a scope changes them or gives them back: a held upstream gets no new
 * work. The owner announces its holds to its peers. Every VM also synchronizes its holds with the readers of its zone,
 * which forward the reports to the owner. So a VM that the owner can't reach still gets the hold, and the owner its
 * confirmation, through a third VM.
 *
 * <p>A VM that does not answer but is still listed blocks a change. Being disconnected from the owner does not keep it
 * from sending work: its configuration may be proven current by the platform, and open routes need no proof.
 */
public final class UpstreamHolds {

    /** Longer than the lease of a scope plus the takeover wait, so that a new owner renews a hold before it expires. */
    static final Duration TIME_TO_LIVE = Duration.ofSeconds(15);

    static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(2);

    /** How often the owner announces a hold until all peers have confirmed it. */
    static final Duration ANNOUNCE_INTERVAL = Duration.ofMillis(300);

    /** How often a VM synchronizes its holds with one of the readers of its zone. */
    static final Duration SYNC_INTERVAL = Duration.ofMillis(900);

    /** Age after which a hold of an unlisted upstream ends; the upstream was given back and is not changed again. */
    static final Duration UNLISTED_LIMIT = Duration.ofSeconds(30);

    private static final Topic TOPIC = new Topic("routing.hold");
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(300);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(100);

    private final Peer self;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final HoldTable table;
    private final UpstreamGate gate;
    private final Supplier<Optional<Set<VmId>>> entryVms;
    private final Duration drainLimit;
    private final PeerHoldReports peerReports;
    private final Map<HoldKey, OwnedHold> ownedHolds = new ConcurrentHashMap<>();
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean unannounced;
    private volatile boolean stopped;
    private volatile Thread loopThread;
    private long nextAnnounceAt;
    private long nextSyncAt;
    private int nextReader;

    /**
     * Creates the holds and handles the requests of peers; no request is sent before {@link #start()}.
     *
     * @param entryVms the entry VMs that the platform lists; empty while no list is known
     * @param drainLimit how long a change waits for running work, which is then cut off and resumed elsewhere
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
        this.peerReports = new PeerHoldReports(clock);
        this.nextAnnounceAt = clock.nanoTime();
        this.nextSyncAt = clock.nanoTime();
        network.handle(TOPIC, this::handleRequest);
    }

    /** Starts to announce and to synchronize holds. */
    public void start() {
        loopThread = Thread.ofVirtual().name("upstream-holds").start(this::run);
    }

    /** Stops; the holds of this VM's owners expire unless a new owner renews them. */
    public void stop() {
        stopped = true;
        Thread running = loopThread;
        if (running != null) {
            running.interrupt();
        }
    }

    /** Returns the listener for one ownership of a scope; pass it to the order task that runs under this authority. */
    public UpstreamChangeListener ownedBy(Authority authority) {
        return new HoldChangeListener(this, authority);
    }

    private void run() {
        try {
            while (!stopped) {
                step();
                Thread.sleep(STEP_INTERVAL);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Starts or keeps a hold; returns whether all VMs have confirmed it and the upstream is drained or past the drain
     * limit.
     */
    boolean prepare(Authority authority, UpstreamId upstream) {
        HoldKey key = new HoldKey(authority.scope().name(), upstream);
        long fencingNumber = authority.fencingNumber().value();
        OwnedHold hold = ownedHolds.get(key);
        if (hold == null || hold.fencingNumber() != fencingNumber) {
            long now = clock.nanoTime();
            long firstSequence = nextSequence();
            hold = new OwnedHold(authority, fencingNumber, firstSequence, now, now, false);
            if (!table.putIfNewer(key, new Hold(fencingNumber, firstSequence, true, now + TIME_TO_LIVE.toNanos()))) {
                return false;
            }
            ownedHolds.put(key, hold);
            unannounced = true;
            return false;
        }
        boolean ready = authority.isGranted() && isReady(key, hold);
        ownedHolds.replace(key, hold, hold.withReady(ready));
        return ready;
    }

    /** Ends a hold that this VM has set as the owner of the scope. */
    void endHold(Authority authority, UpstreamId upstream) {
        HoldKey key = new HoldKey(authority.scope().name(), upstream);
        OwnedHold hold = ownedHolds.remove(key);
        if (hold != null && authority.isGranted()) {
            table.putIfNewer(key, table.endedHold(hold.fencingNumber(), nextSequence()));
            unannounced = true;
        }
    }

    private long nextSequence() {
        return sequence.incrementAndGet();
    }

    private boolean isReady(HoldKey key, OwnedHold hold) {
        long now = clock.nanoTime();
        Hold latest = table.get(key);
        if (latest == null
                || !latest.held()
                || latest.fencingNumber() != hold.fencingNumber()
                || latest.isExpired(now)
                || table.hasLaterOwner(key.scope(), hold.fencingNumber())) {
            return false;
        }
        boolean drainLimitReached = now - hold.since() >= drainLimit.toNanos();
        if (network.peers().stream()
                .anyMatch(peer -> peerReports.isFromOtherIncarnation(peer.vm(), peer.incarnation()))) {
            // A VM that has restarted has not confirmed the hold yet.
            return false;
        }
        return (drainLimitReached || gate.running(key.upstream()) == 0)
                && possibleSenders()
                        .map(vms -> vms.stream().allMatch(vm -> isDrained(vm, key, hold, drainLimitReached)))
                        .orElse(false);
    }

    private boolean isDrained(VmId vm, HoldKey key, OwnedHold hold, boolean drainLimitReached) {
        HeldWork work = peerReports.heldWork(vm, key);
        return work != null
                && work.fencingNumber() == hold.fencingNumber()
                && work.sequence() >= hold.firstSequence()
                && (drainLimitReached || work.running() == 0);
    }

    /**
     * Returns the other VMs that may send work: listed, connected or with a recent report; empty while no list is
     * known.
     */
    private Optional<Set<VmId>> possibleSenders() {
        return entryVms.get().map(listed -> {
            Set<VmId> vms = new HashSet<>(listed);
            vms.addAll(peerReports.recentSenders());
            for (Peer peer : network.peers()) {
                vms.add(peer.vm());
            }
            vms.remove(self.vm());
            return vms;
        });
    }

    /** Renews, announces and synchronizes the holds for which this is due. */
    void step() {
        renewOwnedHolds();
        long now = clock.nanoTime();
        boolean needsFullSync = !table.isSynced() || table.hasExpired();
        boolean awaitsConfirmation = ownedHolds.values().stream().anyMatch(hold -> !hold.ready());
        boolean mustAnnounce = unannounced || (awaitsConfirmation && now - nextAnnounceAt >= 0);
        if (needsFullSync || mustAnnounce) {
            unannounced = false;
            nextAnnounceAt = now + ANNOUNCE_INTERVAL.toNanos();
            List<Peer> peers = network.peers();
            boolean allAnswered = exchangeWithAll(peers, awaitsConfirmation);
            boolean isAlone = entryVms.get().map(vms -> containsOnlySelf(vms)).orElse(false);
            if (needsFullSync && allAnswered && (!peers.isEmpty() || isAlone)) {
                table.dropExpired(now);
                table.setSynced();
            }
        } else if (now - nextSyncAt >= 0) {
            nextSyncAt = now + SYNC_INTERVAL.toNanos();
            syncWithReader();
        }
    }

    private boolean containsOnlySelf(Set<VmId> vms) {
        return vms.stream().allMatch(self.vm()::equals);
    }

    private void renewOwnedHolds() {
        long now = clock.nanoTime();
        ownedHolds.forEach((key, hold) -> {
            if (!hold.authority().isGranted()) {
                ownedHolds.remove(key, hold);
            } else if (!gate.isListed(key.upstream()) && now - hold.since() >= UNLISTED_LIMIT.toNanos()) {
                endHold(hold.authority(), key.upstream());
            } else if (now - hold.renewedAt() >= RENEWAL_INTERVAL.toNanos()) {
                Hold renewed = new Hold(hold.fencingNumber(), nextSequence(), true, now + TIME_TO_LIVE.toNanos());
                if (ownedHolds.replace(key, hold, hold.withRenewedAt(now)) && table.putIfNewer(key, renewed)) {
                    unannounced = true;
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

    private void syncWithReader() {
        List<Peer> live = new ArrayList<>(network.peers());
        live.add(self);
        Set<VmId> readers = ReaderChoice.readers(self.zone(), live);
        List<Peer> sources = live.stream()
                .filter(peer -> readers.contains(peer.vm()) && !peer.vm().equals(self.vm()))
                .toList();
        if (!sources.isEmpty()) {
            exchange(sources.get(Math.floorMod(nextReader++, sources.size())), false);
        }
    }

    private boolean exchange(Peer peer, boolean wantsReports) {
        try {
            HoldMessage message = new HoldMessage(wantsReports, table.rows(), List.of(ownReport()));
            HoldMessage answer = HoldMessage.CODEC.decode(
                    network.request(peer.vm(), TOPIC, HoldMessage.CODEC.encode(message), REQUEST_TIMEOUT));
            merge(peer, answer);
            return true;
        } catch (PeerException | IllegalArgumentException unreachable) {
            // The next round sends the request again. The peer blocks a change until its confirmation arrives, also
            // through a third VM.
            return false;
        }
    }

    private byte[] handleRequest(Peer sender, byte[] payload) throws PeerException {
        HoldMessage request = HoldMessage.CODEC.decode(payload);
        merge(sender, request);
        List<HoldReport> reports = new ArrayList<>();
        reports.add(ownReport());
        if (request.wantsReports()) {
            reports.addAll(peerReports.reportsToForward());
        }
        return HoldMessage.CODEC.encode(new HoldMessage(false, table.rows(), reports));
    }

    private void merge(Peer sender, HoldMessage message) {
        table.merge(message.rows());
        for (HoldReport report : message.reports()) {
            if (!report.vm().equals(self.vm().value())) {
                peerReports.add(report, report.vm().equals(sender.vm().value()));
            }
        }
    }

    private HoldReport ownReport() {
        return new HoldReport(self.vm().value(), self.incarnation().toString(), table.heldWork(gate::running));
    }
}
