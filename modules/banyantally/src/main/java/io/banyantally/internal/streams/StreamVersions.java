package io.banyantally.internal.streams;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.AttemptId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Knows the software version at which a stream began. Streams of the default version of a service need no record;
 * others are recorded in the store before their first event is passed on, so that a VM that has just started knows them.
 */
public final class StreamVersions {

    /** Longer than a caller may take a stream up again after it began. */
    static final Duration TAKE_UP_TIME = Duration.ofSeconds(20);

    /** The part of each VM in the rate of writes that records may take. */
    private static final Duration WRITE_INTERVAL_OF_A_VM = Duration.ofMillis(5);

    private static final EventLog LOG = EventLog.of(StreamVersions.class);

    private final CoordinationStore store;
    private final DefaultVersions defaults;
    private final PresentVersions present;
    private final StreamRecorder recorder;
    private final StreamMemory memory;
    private final Supplier<StoreEra> era;
    private StoreEra restoredIn;

    StreamVersions(
            CoordinationStore store,
            Supplier<StoreEra> era,
            DefaultVersions defaults,
            PresentVersions present,
            StreamRecorder recorder,
            MonotonicClock clock) {
        this.store = store;
        this.defaults = defaults;
        this.present = present;
        this.recorder = recorder;
        this.memory = new StreamMemory(clock);
        this.era = era;
        this.restoredIn = era.get();
    }

    /**
     * Creates the versions of streams.
     *
     * @param era returns the newest era of the store that is known
     * @param upstreams returns all known upstreams, leaving ones included
     * @param vms returns the number of VMs that share the store's rate of writes
     */
    public static StreamVersions create(
            CoordinationStore store,
            Supplier<StoreEra> era,
            DefaultVersions defaults,
            Supplier<? extends Collection<ReplicaEntry>> upstreams,
            Supplier<Integer> vms,
            MetricRegistry metrics) {
        StreamRecorder recorder = new StreamRecorder(
                store,
                () -> WRITE_INTERVAL_OF_A_VM.multipliedBy(vms.get()),
                MonotonicClock.SYSTEM,
                Sleeper.SYSTEM,
                task -> Thread.ofVirtual().name("stream-record").start(task),
                metrics);
        return new StreamVersions(
                store,
                era,
                defaults,
                new PresentVersions(upstreams, MonotonicClock.SYSTEM),
                recorder,
                MonotonicClock.SYSTEM);
    }

    /** Returns the task that removes the records of streams that have ended. */
    public StreamRecordSweeper sweeper() {
        return new StreamRecordSweeper(store);
    }

    /** Returns the task that writes the default versions. */
    public DefaultVersionKeeper keeper() {
        return new DefaultVersionKeeper(store, defaults, present);
    }

    /**
     * Observes the versions of upstreams, forgets streams that have ended, and records those that began in an outage or that
     * the store has lost with its era; call it several times a second.
     */
    public synchronized void maintain() {
        present.observe();
        memory.dropOld();
        StoreEra newest = era.get();
        if (newest.isAfter(restoredIn)) {
            restoredIn = newest;
            memory.loseRecords();
            // Without their records, these streams would go on at the default version.
            memory.takeMissing(Integer.MAX_VALUE).forEach(this::recordMissing);
        } else if (!recorder.isFailing()) {
            memory.takeMissing(StreamRecorder.MAXIMUM_PUTS).forEach(this::recordMissing);
        }
    }

    private void recordMissing(StoreKey stream, SoftwareVersion version) {
        CompletableFuture<Void> _ = recorder.record(stream, version).thenAccept(written -> {
            if (!written) {
                memory.setState(stream, StreamMemory.RecordState.MISSING);
            }
        });
    }

    /** Begins to follow at which version the stream of a new attempt begins. */
    public StreamStart start(ServiceName service, AttemptId attempt) {
        return new StreamStart(this, service, attempt);
    }

    /**
     * Returns the version at which a stream goes on that a caller takes up; empty if it is not known. Reads the store
     * unless the service has had one version only for as long as a stream can be taken up.
     *
     * @param attempt the attempt that brought the first event; empty if the caller does not name it
     */
    public Optional<SoftwareVersion> versionOf(ServiceName service, Optional<AttemptId> attempt) {
        Optional<SoftwareVersion> remembered =
                attempt.flatMap(begun -> memory.version(StreamStoreKeys.record(service, begun)));
        if (remembered.isPresent()) {
            return remembered;
        }
        Optional<SoftwareVersion> unrecorded = defaults.of(service);
        if (unrecorded.isPresent() && isNothingRecorded(service, unrecorded.get())) {
            return unrecorded;
        }
        if (attempt.isEmpty()) {
            return Optional.empty();
        }
        try {
            Optional<SoftwareVersion> recorded = read(StreamStoreKeys.record(service, attempt.get()));
            return recorded.isPresent() ? recorded : unrecorded;
        } catch (StoreException failure) {
            LOG.warn(
                    "stream_version_not_read",
                    EventField.of("attempt", attempt.get()),
                    EventField.of("reason", failure.getMessage()));
            return Optional.empty();
        }
    }

    /**
     * Returns the same as {@link #versionOf(ServiceName, Optional)}; empty if the store does not answer in time.
     *
     * @param limit the time that the request has left
     */
    public Optional<SoftwareVersion> versionOf(ServiceName service, Optional<AttemptId> attempt, Duration limit) {
        CompletableFuture<Optional<SoftwareVersion>> version = new CompletableFuture<>();
        Thread.ofVirtual().name("stream-version").start(() -> {
            try {
                version.complete(versionOf(service, attempt));
            } finally {
                version.complete(Optional.empty());
            }
        });
        return version.completeOnTimeout(Optional.empty(), limit.toNanos(), TimeUnit.NANOSECONDS)
                .join();
    }

    private Optional<SoftwareVersion> read(StoreKey key) throws StoreException {
        return store.list(key.path()).items().stream()
                .filter(item -> item.key().equals(key))
                .map(item -> new SoftwareVersion(new String(item.value(), StandardCharsets.UTF_8)))
                .findFirst();
    }

    /** Returns whether no VM has recorded a stream that may still be taken up. */
    private boolean isNothingRecorded(ServiceName service, SoftwareVersion version) {
        return defaults.knownFor(service).compareTo(TAKE_UP_TIME) >= 0
                && present.onlyOne(service, TAKE_UP_TIME).equals(Optional.of(version));
    }

    /** Returns whether streams of a version need no record. */
    boolean isDefault(ServiceName service, SoftwareVersion version) {
        return defaults.of(service).equals(Optional.of(version));
    }

    /**
     * Returns the version to which new streams should go, if there is one that needs no record while records can't be
     * written.
     */
    public Optional<SoftwareVersion> versionWithoutRecord(ServiceName service) {
        return recorder.isFailing() ? defaults.of(service).filter(present.of(service)::contains) : Optional.empty();
    }

    /** Returns whether no stream without a record goes on, so that it can't go on at another version. */
    boolean mayBeginWithoutRecord(ServiceName service) {
        return defaults.isRead() && defaults.of(service).isEmpty();
    }

    StreamRecorder recorder() {
        return recorder;
    }

    StreamMemory memory() {
        return memory;
    }
}
