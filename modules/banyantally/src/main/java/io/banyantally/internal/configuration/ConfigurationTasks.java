package io.banyantally.internal.configuration;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jboss.logging.Logger;

/**
 * Keeps the replica current: one task watches the manifest while this VM is a reader of its zone, and one task for each
 * peer asks it for proofs while it is a source of them.
 */
public final class ConfigurationTasks {

    /** How often a VM asks its sources. */
    static final Duration ASK_INTERVAL = Duration.ofMillis(200);

    private static final Duration ROSTER_RETRY = Duration.ofMillis(500);

    /**
     * The roster takes one VM at a time. When more VMs than this wait, each tries less often: of 200 that all tried every
     * 500 ms only 86 had joined after 2 minutes.
     */
    private static final int JOINS_IN_A_RETRY = 8;

    private static final Duration STOP_LIMIT = Duration.ofSeconds(2);
    private static final Logger LOG = Logger.getLogger(ConfigurationTasks.class);

    private final Peer self;
    private final ConfigurationReplica replica;
    private final ConfigurationExchange exchange;
    private final ManifestWatch watch;
    private final RosterManager roster;
    private final Timeline timeline;
    private final Map<VmId, Thread> peerTasks = new ConcurrentHashMap<>();
    private final List<Thread> tasks = new ArrayList<>();
    private volatile Set<VmId> readers = Set.of();
    private volatile Set<VmId> connected = Set.of();
    private volatile boolean stopped;
    private boolean proven;
    private long lastChangeSeen;

    /** Creates the tasks; none runs before {@link #start()}. */
    public ConfigurationTasks(
            Peer self,
            ConfigurationReplica replica,
            ConfigurationExchange exchange,
            ManifestWatch watch,
            RosterManager roster,
            Timeline timeline) {
        this.self = self;
        this.replica = replica;
        this.exchange = exchange;
        this.watch = watch;
        this.roster = roster;
        this.timeline = timeline;
    }

    /** Starts the tasks. */
    public synchronized void start() {
        observePeers();
        tasks.add(Thread.ofVirtual().name("configuration-watch").start(() -> repeat(this::watchOnce)));
        tasks.add(Thread.ofVirtual().name("configuration-peers").start(() -> repeat(this::supervise)));
        tasks.add(Thread.ofVirtual().name("configuration-roster").start(() -> repeat(this::stayInRoster)));
    }

    /** Stops the tasks and waits for them. */
    public synchronized void stop() throws InterruptedException {
        stopped = true;
        List<Thread> running = new ArrayList<>(tasks);
        running.addAll(peerTasks.values());
        running.forEach(Thread::interrupt);
        for (Thread task : running) {
            if (!task.join(STOP_LIMIT)) {
                LOG.warnf("event=configuration.task.stuck task=%s", task.getName());
            }
        }
    }

    private void repeat(Step step) {
        try {
            Thread.sleep(Jitter.around(ASK_INTERVAL.dividedBy(4)));
            while (!stopped) {
                runOnce(step);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** A fault in one step must not end the task: the VM would never hear of changes again. */
    private static void runOnce(Step step) throws InterruptedException {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.errorf(
                    failure,
                    "event=configuration.task.failed task=%s",
                    Thread.currentThread().getName());
            Thread.sleep(Jitter.around(ASK_INTERVAL));
        }
    }

    private void watchOnce() throws InterruptedException {
        if (!isReader() || !watch.step(ManifestWatch.WATCH_TIMEOUT)) {
            Thread.sleep(Jitter.around(ASK_INTERVAL));
        }
    }

    private void supervise() throws InterruptedException {
        observePeers();
        for (VmId peer : connected) {
            peerTasks.computeIfAbsent(
                    peer,
                    name -> Thread.ofVirtual()
                            .name("configuration-peer-" + name)
                            .start(() -> followPeer(name)));
        }
        reportProof();
        Thread.sleep(Jitter.around(ASK_INTERVAL.dividedBy(2)));
    }

    /** Learns which peers are connected, and which VMs of the zone are readers. */
    void observePeers() {
        List<Peer> live = new ArrayList<>(exchange.peers());
        Set<VmId> names = new HashSet<>();
        live.forEach(peer -> names.add(peer.vm()));
        connected = Set.copyOf(names);
        names.addAll(replica.snapshot().roster().base());
        replica.retainContacts(names);
        live.add(self);
        readers = ReaderChoice.readers(self.zone(), live);
    }

    boolean isReader() {
        return readers.contains(self.vm());
    }

    private void followPeer(VmId peer) {
        try {
            while (!stopped && connected.contains(peer)) {
                Thread.sleep(Jitter.around(ASK_INTERVAL));
                if (isSource(peer)) {
                    exchange.ask(peer);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            peerTasks.remove(peer);
        }
    }

    /**
     * Returns whether to ask a peer for proofs: the readers of the zone, unless this VM is a reader itself; and every
     * peer while the platform is not heard.
     */
    boolean isSource(VmId peer) {
        return !replica.hearsPlatform() || (!isReader() && readers.contains(peer));
    }

    private void reportProof() {
        boolean now = replica.isProven();
        if (now != proven) {
            proven = now;
            timeline.record(
                    now ? EventKind.PROOF_REGAINED : EventKind.PROOF_LOST,
                    EventField.of("revision", replica.revision()));
        }
    }

    /** Keeps this VM in the roster: it may be removed in error when the platform's list of VMs lags behind. */
    private void stayInRoster() throws InterruptedException {
        int missing = connected.size() + 1 - replica.snapshot().roster().base().size();
        Thread.sleep(Jitter.around(ROSTER_RETRY.multipliedBy(Math.max(1, missing / JOINS_IN_A_RETRY))));
        Roster present = replica.snapshot().roster();
        if (present.base().contains(self.vm()) || !replica.hearsPlatform() || isNewChange(present)) {
            return;
        }
        try {
            roster.add(self.vm());
        } catch (ConfigurationNotWrittenException | ConfigurationOutcomeUnknownException failure) {
            LOG.infof("event=configuration.roster.join.failed reason=\"%s\"", failure.getMessage());
        }
    }

    /**
     * Returns whether a change is under way that was not under way at the last look. Its author completes it; this VM
     * does so only when it stays, because many starting VMs would all ask for the same confirmation.
     */
    private boolean isNewChange(Roster present) {
        boolean isNew = present.isChanging() && present.changedAt() != lastChangeSeen;
        lastChangeSeen = present.changedAt();
        return isNew;
    }

    @FunctionalInterface
    private interface Step {

        void run() throws InterruptedException;
    }
}
