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
 * Background tasks that keep the replica up to date. One task watches the manifest while this VM is a reader of its
 * zone; one task per peer polls it for proofs while {@link #isProofSource} holds; one keeps this VM in the roster.
 */
public final class ConfigurationTasks {

    /** Mean interval at which a VM polls each of its proof sources. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private static final Duration ROSTER_RETRY_DELAY = Duration.ofMillis(500);

    /**
     * The roster changes by one VM at a time, so the retry delay is multiplied by the number of missing VMs divided by
     * this: of 200 VMs that all retried every 500 ms, only 86 had joined after 2 minutes.
     */
    private static final int JOINS_PER_RETRY_DELAY = 8;

    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);
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
    private boolean wasProven;
    private long lastSeenRosterChange;

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

    /** Starts the tasks on virtual threads. */
    public synchronized void start() {
        refreshPeers();
        tasks.add(Thread.ofVirtual().name("configuration-watch").start(() -> repeat(this::watchOnce)));
        tasks.add(Thread.ofVirtual().name("configuration-peers").start(() -> repeat(this::supervisePeers)));
        tasks.add(Thread.ofVirtual().name("configuration-roster").start(() -> repeat(this::rejoinRosterIfMissing)));
    }

    /** Stops the tasks and waits up to 2 s for each; logs those that are still running. */
    public synchronized void stop() throws InterruptedException {
        stopped = true;
        List<Thread> running = new ArrayList<>(tasks);
        running.addAll(peerTasks.values());
        running.forEach(Thread::interrupt);
        for (Thread task : running) {
            if (!task.join(STOP_TIMEOUT)) {
                LOG.warnf("event=configuration.task.stuck task=%s", task.getName());
            }
        }
    }

    private void repeat(Step step) {
        try {
            Thread.sleep(Jitter.around(POLL_INTERVAL.dividedBy(4)));
            while (!stopped) {
                runOnce(step);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Logs unexpected exceptions: one that ended the task would cut the VM off from all later changes. */
    private static void runOnce(Step step) throws InterruptedException {
        try {
            step.run();
        } catch (RuntimeException failure) {
            LOG.errorf(
                    failure,
                    "event=configuration.task.failed task=%s",
                    Thread.currentThread().getName());
            Thread.sleep(Jitter.around(POLL_INTERVAL));
        }
    }

    private void watchOnce() throws InterruptedException {
        if (!isReader() || !watch.step(ManifestWatch.WATCH_TIMEOUT)) {
            Thread.sleep(Jitter.around(POLL_INTERVAL));
        }
    }

    private void supervisePeers() throws InterruptedException {
        refreshPeers();
        for (VmId peer : connected) {
            peerTasks.computeIfAbsent(
                    peer,
                    vmId -> Thread.ofVirtual()
                            .name("configuration-peer-" + vmId)
                            .start(() -> pollPeer(vmId)));
        }
        recordProofTransition();
        Thread.sleep(Jitter.around(POLL_INTERVAL.dividedBy(2)));
    }

    /** Updates the set of connected peers and the readers of the zone. */
    void refreshPeers() {
        List<Peer> live = new ArrayList<>(exchange.peers());
        Set<VmId> vmIds = new HashSet<>();
        live.forEach(peer -> vmIds.add(peer.vm()));
        connected = Set.copyOf(vmIds);
        vmIds.addAll(replica.snapshot().roster().base());
        replica.retainPeerStatuses(vmIds);
        live.add(self);
        readers = ReaderChoice.readers(self.zone(), live);
    }

    boolean isReader() {
        return readers.contains(self.vm());
    }

    private void pollPeer(VmId peer) {
        try {
            while (!stopped && connected.contains(peer)) {
                Thread.sleep(Jitter.around(POLL_INTERVAL));
                if (isProofSource(peer)) {
                    exchange.queryPeer(peer);
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            peerTasks.remove(peer);
        }
    }

    /**
     * Returns whether to poll a peer for proofs. A VM that is not a reader polls the readers of its zone; without a
     * recent proof from the platform, every VM polls all peers.
     */
    boolean isProofSource(VmId peer) {
        return !replica.hasRecentPlatformProof() || (!isReader() && readers.contains(peer));
    }

    private void recordProofTransition() {
        boolean proven = replica.isProven();
        if (proven != wasProven) {
            wasProven = proven;
            timeline.record(
                    proven ? EventKind.PROOF_REGAINED : EventKind.PROOF_LOST,
                    EventField.of("revision", replica.revision()));
        }
    }

    /**
     * Adds this VM to the roster if it is missing: it can be removed in error if the platform's VM list is outdated.
     */
    private void rejoinRosterIfMissing() throws InterruptedException {
        int missing = connected.size() + 1 - replica.snapshot().roster().base().size();
        Thread.sleep(Jitter.around(ROSTER_RETRY_DELAY.multipliedBy(Math.max(1, missing / JOINS_PER_RETRY_DELAY))));
        Roster currentRoster = replica.snapshot().roster();
        if (currentRoster.base().contains(self.vm())
                || !replica.hasRecentPlatformProof()
                || isNewChange(currentRoster)) {
            return;
        }
        try {
            roster.add(self.vm());
        } catch (ConfigurationNotWrittenException | ConfigurationOutcomeUnknownException failure) {
            LOG.infof("event=configuration.roster.join.failed reason=\"%s\"", failure.getMessage());
        }
    }

    /**
     * Returns whether a roster change is in progress that was not in progress at the previous call. The VM that started
     * a change completes it. This VM does so only if the change is still there at the next call, since otherwise many
     * starting VMs would all request the same confirmation.
     */
    private boolean isNewChange(Roster currentRoster) {
        boolean isNew = currentRoster.isChanging() && currentRoster.changedAt() != lastSeenRosterChange;
        lastSeenRosterChange = currentRoster.changedAt();
        return isNew;
    }

    @FunctionalInterface
    private interface Step {

        void run() throws InterruptedException;
    }
}
