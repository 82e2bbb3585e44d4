package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Writes the usage counts of this process to the store, so that they survive the process. */
public final class UsagePublisher {

    /**
     * With many VMs, a crash of one loses one second of one VM, a small part of the 5% error that a report may have.
     */
    static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(1);

    /** With few VMs all may crash at once; this loses at most 4% of a window of five seconds. */
    static final Duration MINIMUM_INTERVAL = Duration.ofMillis(200);

    /**
     * Limits small deployments to 25 writes a second in total; the store limits calls and accepts 400 writes a second.
     */
    private static final Duration INTERVAL_PER_VM = Duration.ofMillis(40);

    /**
     * Into how many parts a large fleet divides a window at least; each VM writes once in each part, and a crash of one
     * VM loses a small part of what all have counted.
     */
    private static final int LARGE_FLEET_PARTS = 2;

    private static final int FINAL_WRITE_ATTEMPTS = 2;

    private final CoordinationStore store;
    private final Supplier<StoreEra> era;
    private final UsageLedger ledger;
    private final StoreHealth health;
    private final MonotonicClock clock;
    private final StoreKey key;
    private StoreRevision ownRevision = StoreRevision.ABSENT;
    private StoreEra publishedEra = StoreEra.UNKNOWN;
    private long publishedChanges;
    private long publishedWindow;
    private long publishedAt;
    private volatile boolean closed;

    /**
     * Creates a publisher.
     *
     * @param era returns the newest era of the store that is known
     * @param incarnation identifies this process among all that ever run on the VM
     */
    public UsagePublisher(
            CoordinationStore store,
            Supplier<StoreEra> era,
            UsageLedger ledger,
            StoreHealth health,
            MonotonicClock clock,
            VmId vm,
            String incarnation) {
        this.store = store;
        this.era = era;
        this.ledger = ledger;
        this.health = health;
        this.clock = clock;
        this.key = GatewayStoreKeys.usageCounts(vm, incarnation);
    }

    /** Returns the time between two writes of each VM when {@code vms} are running. */
    public static Duration interval(int vms) {
        Duration proportional = INTERVAL_PER_VM.multipliedBy(vms);
        if (proportional.compareTo(MINIMUM_INTERVAL) < 0) {
            return MINIMUM_INTERVAL;
        }
        return proportional.compareTo(MAXIMUM_INTERVAL) > 0 ? MAXIMUM_INTERVAL : proportional;
    }

    /**
     * Writes the counts if there are new ones, if a window has ended since, or if the store may have lost the last
     * write with its era; {@code vms} are running.
     */
    public synchronized void publish(int vms) {
        if (closed) {
            return;
        }
        boolean windowEnded = ledger.currentWindow() != publishedWindow;
        boolean changed = ledger.changes() != publishedChanges;
        boolean eraEnded = era.get().isAfter(publishedEra);
        if (windowEnded || eraEnded || (changed && clock.since(publishedAt).compareTo(pause(vms)) >= 0)) {
            write();
        }
    }

    /** Returns the least time between two writes within a window when {@code vms} are running. */
    private Duration pause(int vms) {
        Duration proportional = INTERVAL_PER_VM.multipliedBy(vms);
        if (proportional.compareTo(MAXIMUM_INTERVAL) <= 0) {
            return Duration.ZERO;
        }
        Duration limit = ledger.window().dividedBy(LARGE_FLEET_PARTS);
        return proportional.compareTo(limit) > 0 ? limit : proportional;
    }

    /**
     * Writes the final counts of this process, in two attempts that share {@code limit}. The first may hang on an
     * unresponsive connection or at the end of an outage; both write the same counts. They do not check the revision,
     * so that they succeed concurrently with a write of {@link #publish}, which fails if it reaches the store later.
     *
     * @return whether they were written in time
     */
    public boolean close(Duration limit) throws InterruptedException {
        closed = true;
        CountDownLatch written = new CountDownLatch(1);
        Duration attemptTimeout = limit.dividedBy(FINAL_WRITE_ATTEMPTS);
        for (int attempt = 0; attempt < FINAL_WRITE_ATTEMPTS; attempt++) {
            Thread.ofVirtual().name("last-usage").start(() -> writeFinalCounts(written));
            if (written.await(attemptTimeout.toNanos(), TimeUnit.NANOSECONDS)) {
                return true;
            }
        }
        return false;
    }

    private void writeFinalCounts(CountDownLatch written) {
        try {
            store.apply(StoreTransaction.put(key, WireFormat.encode(ledger.snapshot(true)), Optional.empty()));
            written.countDown();
        } catch (StoreException failure) {
            health.failed("publish last usage", failure);
        }
    }

    private void write() {
        long changes = ledger.changes();
        long window = ledger.currentWindow();
        try {
            if (era.get().isAfter(publishedEra)) {
                ownRevision = StoreRevision.ABSENT;
            }
            ownRevision = overwriteOwnCounts(WireFormat.encode(ledger.snapshot(false)));
            publishedEra = ownRevision.era();
            publishedChanges = changes;
            publishedWindow = window;
            publishedAt = clock.nanoTime();
            health.answered();
        } catch (RevisionConflictException conflict) {
            // Either the final counts were written, or the next round writes all counts again.
            health.answered();
        } catch (StoreException failure) {
            // The next round writes all counts again.
            health.failed("publish usage", failure);
        }
    }

    /** Overwrites the last own counts, even if the response to that write was lost after it took effect. */
    private StoreRevision overwriteOwnCounts(byte[] counts) throws StoreException {
        try {
            return store.apply(putAtRevision(ownRevision, counts));
        } catch (RevisionConflictException conflict) {
            if (closed) {
                throw conflict;
            }
            ownRevision = conflict.currentRevision();
            return store.apply(putAtRevision(ownRevision, counts));
        }
    }

    private StoreTransaction putAtRevision(StoreRevision expected, byte[] counts) {
        return new StoreTransaction(
                List.of(new StoreTransaction.Expectation(key, expected)),
                List.of(new StoreTransaction.Put(key, counts, Optional.empty())),
                List.of());
    }
}
