package io.banyantally.internal.duty;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreTransaction;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Writes what this process has counted to the store, so that it survives the process. */
public final class UsagePublisher {

    /** With many VMs the death of one loses one second of one VM, a small part of the 5% that a report may be off. */
    static final Duration LONGEST_INTERVAL = Duration.ofSeconds(1);

    /** With few VMs all may die at once; this loses at most 4% of a window of five seconds. */
    static final Duration SHORTEST_INTERVAL = Duration.ofMillis(200);

    /** Small deployments write 25 times a second in all: the store counts calls, and takes 400 writes a second. */
    private static final Duration INTERVAL_FOR_EACH_VM = Duration.ofMillis(40);

    private static final int LAST_ATTEMPTS = 2;

    private final CoordinationStore store;
    private final UsageLedger ledger;
    private final StoreHealth health;
    private final StoreKey key;
    private StoreRevision ownRevision = StoreRevision.ABSENT;
    private long publishedChanges;
    private long publishedIn;
    private volatile boolean closed;

    /** Creates a publisher for one lifetime of a process. */
    public UsagePublisher(CoordinationStore store, UsageLedger ledger, StoreHealth health, VmId vm, String lifetime) {
        this.store = store;
        this.ledger = ledger;
        this.health = health;
        this.key = GatewayStoreKeys.usageCounts(vm, lifetime);
    }

    /** Returns the time between two writes of one VM among {@code vms}. */
    public static Duration interval(int vms) {
        Duration shared = INTERVAL_FOR_EACH_VM.multipliedBy(vms);
        if (shared.compareTo(SHORTEST_INTERVAL) < 0) {
            return SHORTEST_INTERVAL;
        }
        return shared.compareTo(LONGEST_INTERVAL) > 0 ? LONGEST_INTERVAL : shared;
    }

    /** Writes the counts if there are new ones, or if a window has ended since. */
    public synchronized void publish() {
        if (!closed && (ledger.changes() != publishedChanges || ledger.currentWindow() != publishedIn)) {
            write();
        }
    }

    /**
     * Writes the last counts of this process, in two attempts that share {@code limit}. The first may hang on a connection
     * that has gone silent, or in the last moments of an outage; both write the same counts. They expect no revision, so
     * that they succeed beside a write of {@link #publish} that is on its way, which fails if it arrives later.
     *
     * @return whether they were written in time
     */
    public boolean close(Duration limit) throws InterruptedException {
        closed = true;
        CountDownLatch written = new CountDownLatch(1);
        Duration each = limit.dividedBy(LAST_ATTEMPTS);
        for (int attempt = 0; attempt < LAST_ATTEMPTS; attempt++) {
            Thread.ofVirtual().name("last-usage").start(() -> writeLast(written));
            if (written.await(each.toNanos(), TimeUnit.NANOSECONDS)) {
                return true;
            }
        }
        return false;
    }

    private void writeLast(CountDownLatch written) {
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
            ownRevision = writeOverLast(WireFormat.encode(ledger.snapshot(false)));
            publishedChanges = changes;
            publishedIn = window;
            health.answered();
        } catch (RevisionConflictException conflict) {
            // The last counts are written, or the next round writes all counts again.
            health.answered();
        } catch (StoreException failure) {
            // The next round writes all counts again.
            health.failed("publish usage", failure);
        }
    }

    /** Writes over the last own write, also if that one took effect although its answer was lost. */
    private StoreRevision writeOverLast(byte[] counts) throws StoreException {
        try {
            return store.apply(putOver(ownRevision, counts));
        } catch (RevisionConflictException conflict) {
            if (closed) {
                throw conflict;
            }
            ownRevision = conflict.currentRevision();
            return store.apply(putOver(ownRevision, counts));
        }
    }

    private StoreTransaction putOver(StoreRevision expected, byte[] counts) {
        return new StoreTransaction(
                List.of(new StoreTransaction.Expectation(key, expected)),
                List.of(new StoreTransaction.Put(key, counts, Optional.empty())),
                List.of());
    }
}
