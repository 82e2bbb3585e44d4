package io.banyantally.internal.crash;

import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import io.banyantally.platform.StoreTransaction.Expectation;
import io.banyantally.platform.StoreTransaction.Put;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;

/** Reports the crashes of upstreams that this VM observes, with the prompts that it had there, to all VMs. */
public final class CrashReporter {

    /** All answers that an upstream breaks off when it crashes have failed within this time. */
    static final Duration COLLECTION_TIME = Duration.ofMillis(50);

    /**
     * How long a crash counts. A prompt is sent again when its crashes no longer count, so that one which was blamed by
     * mistake, or whose upstreams have been repaired, is served at last.
     */
    static final Duration LIFETIME = Duration.ofMinutes(5);

    /** Interval of {@link #publishClearances}; most clearances are written by the first VM and not needed again. */
    public static final Duration CLEARANCE_INTERVAL = Duration.ofMillis(250);

    /** A report that counts for a shorter time is not written again. */
    private static final Duration MINIMUM_LIFETIME = Duration.ofSeconds(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    private static final int MAXIMUM_WRITES = 20;

    /** Limits a report to some kilobytes. */
    private static final int MAXIMUM_PARTS = 256;

    /** The store takes at most 32 entries in one transaction. */
    private static final int MAXIMUM_CLEARANCES = 32;

    private static final EventLog LOG = EventLog.of(CrashReporter.class);

    private final CoordinationStore store;
    private final Supplier<StoreEra> era;
    private final CrashLedger ledger;
    private final Predicate<ReplicaEntry> inService;
    private final UpstreamProbe probe;
    private final VmId vm;
    private final Executor executor;
    private final Sleeper sleeper;
    private final MonotonicClock clock;
    private final Map<StoreKey, WrittenReport> written = new ConcurrentHashMap<>();
    private final Map<String, Set<PromptPartKey>> brokenOff = new HashMap<>();
    private final AtomicLong reports = new AtomicLong();

    /**
     * Creates a reporter.
     *
     * @param era returns the newest era of the store that is known
     * @param inService returns whether an upstream should be running; one that leaves as planned has not crashed
     * @param executor runs one task for each crash, which blocks
     */
    CrashReporter(
            CoordinationStore store,
            Supplier<StoreEra> era,
            CrashLedger ledger,
            Predicate<ReplicaEntry> inService,
            UpstreamProbe probe,
            VmId vm,
            Executor executor,
            Sleeper sleeper,
            MonotonicClock clock) {
        this.store = store;
        this.era = era;
        this.ledger = ledger;
        this.inService = inService;
        this.probe = probe;
        this.vm = vm;
        this.executor = executor;
        this.sleeper = sleeper;
        this.clock = clock;
    }

    /** Creates a reporter that probes upstreams over the network, each in a thread of its own. */
    public static CrashReporter create(
            CoordinationStore store,
            Supplier<StoreEra> era,
            CrashLedger ledger,
            Predicate<ReplicaEntry> inService,
            VmId vm) {
        return new CrashReporter(
                store,
                era,
                ledger,
                inService,
                UpstreamProbe::refusesConnections,
                vm,
                task -> Thread.ofVirtual().name("crash-report").start(task),
                Sleeper.SYSTEM,
                MonotonicClock.SYSTEM);
    }

    /** Records that an upstream broke off the answer to a prompt, and reports a crash if the upstream has ended. */
    public void recordBrokenOff(ReplicaEntry upstream, PromptMetadata prompt) {
        Set<PromptPartKey> parts = PromptPartKey.sharedParts(upstream.service(), prompt);
        if (parts.isEmpty()) {
            return;
        }
        String lifetime = upstream.id() + "." + upstream.startedAtMillis().orElse(0);
        if (collect(lifetime, parts)) {
            long episode = ledger.currentEpisode();
            executor.execute(() -> reportCollected(upstream, lifetime, episode));
        }
    }

    /** Adds parts to the collection of an upstream, and returns whether they are the first ones there. */
    private synchronized boolean collect(String lifetime, Set<PromptPartKey> parts) {
        boolean first = !brokenOff.containsKey(lifetime);
        brokenOff.computeIfAbsent(lifetime, unseen -> new HashSet<>()).addAll(parts);
        return first;
    }

    private synchronized Set<PromptPartKey> takeCollected(String lifetime) {
        return brokenOff.remove(lifetime);
    }

    private void reportCollected(ReplicaEntry upstream, String lifetime, long episode) {
        try {
            sleeper.sleep(COLLECTION_TIME);
            Set<PromptPartKey> parts = takeCollected(lifetime);
            if (!inService.test(upstream) || !probe.hasEnded(upstream)) {
                return;
            }
            CrashReport report = new CrashReport(
                    lifetime,
                    episode,
                    parts.stream()
                            .limit(MAXIMUM_PARTS)
                            .map(PromptPartKey::value)
                            .toList());
            LOG.warn(
                    "upstream_crashed",
                    EventField.of("upstream", upstream.id()),
                    EventField.of("episode", report.episode()),
                    EventField.of("parts", parts.size()));
            write(report);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(CrashReport report) throws InterruptedException {
        StoreKey key = CrashStoreKeys.report(report.upstream(), vm, reports.incrementAndGet());
        Put put = new Put(key, WireFormat.encode(report), Optional.empty());
        for (int attempt = 0; attempt < MAXIMUM_WRITES; attempt++) {
            Optional<StoreRevision> revision = write(List.of(put), List.of(), LIFETIME);
            if (revision.isPresent()) {
                written.put(
                        key,
                        new WrittenReport(put, clock.nanoTime(), revision.get().era()));
                return;
            }
            sleeper.sleep(RETRY_DELAY);
        }
        LOG.warn("crash_not_reported", EventField.of("upstream", report.upstream()));
    }

    /** Writes the reports of this VM again that the store has lost with its era; call it several times a second. */
    public void restoreReports() {
        written.values().removeIf(report -> report.remaining(clock).compareTo(MINIMUM_LIFETIME) < 0);
        written.forEach((key, report) -> {
            if (era.get().isAfter(report.era())) {
                restore(key, report);
            }
        });
    }

    private void restore(StoreKey key, WrittenReport report) {
        Expectation absent = new Expectation(key, StoreRevision.ABSENT);
        write(List.of(report.put()), List.of(absent), report.remaining(clock))
                .ifPresent(revision -> written.put(key, report.inEra(revision.era())));
    }

    /** Writes which suspected parts this VM has served, before other VMs blame them. */
    public void publishClearances() {
        List<Put> puts = ledger.unpublishedClearances().stream()
                .limit(MAXIMUM_CLEARANCES)
                .map(part -> new Put(CrashStoreKeys.cleared(part), new byte[0], Optional.empty()))
                .toList();
        if (!puts.isEmpty()) {
            write(puts, List.of(), LIFETIME);
        }
    }

    /** Writes under a new lease; returns the revision of the write, or of the item that was expected to be absent. */
    private Optional<StoreRevision> write(List<Put> puts, List<Expectation> absent, Duration timeToLive) {
        try {
            Optional<LeaseId> lease = Optional.of(store.grantLease(timeToLive));
            return Optional.of(store.apply(new StoreTransaction(
                    absent,
                    puts.stream()
                            .map(put -> new Put(put.key(), put.value(), lease))
                            .toList(),
                    List.of())));
        } catch (RevisionConflictException present) {
            return Optional.of(present.currentRevision());
        } catch (StoreException failure) {
            LOG.warn("crash_write_failed", EventField.of("reason", failure.getMessage()));
            return Optional.empty();
        }
    }

    private record WrittenReport(Put put, long writtenAt, StoreEra era) {

        Duration remaining(MonotonicClock clock) {
            return LIFETIME.minus(clock.since(writtenAt));
        }

        WrittenReport inEra(StoreEra newEra) {
            return new WrittenReport(put, writtenAt, newEra);
        }
    }
}
