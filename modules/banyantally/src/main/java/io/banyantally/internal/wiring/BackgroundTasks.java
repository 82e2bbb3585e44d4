package io.banyantally.internal.wiring;

import io.banyantally.internal.admission.FairAdmission;
import io.banyantally.internal.authority.ScopeOwner;
import io.banyantally.internal.idempotency.StoredCallLedger;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.routing.LoadAwareRouter;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.usage.UsageReplicator;
import io.banyantally.internal.usage.ZoneUsageFlush;
import io.banyantally.platform.StoreException;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** The tasks that run beside the requests: upkeep of the call ledger, load and demand, usage, and owned scopes. */
@Singleton
final class BackgroundTasks {

    private static final EventLog LOG = EventLog.of(BackgroundTasks.class);

    /** Longer than the longest order of a scope's owner. */
    private static final Duration RELEASE_LIMIT = Duration.ofSeconds(10);

    private static final Duration RELEASE_POLL = Duration.ofMillis(50);

    private final StoredCallLedger ledger;
    private final LoadAwareRouter router;
    private final FairAdmission admission;
    private final UsageReplicator replicator;
    private final ZoneUsageFlush zoneFlush;
    private final List<ScopeOwner> owners;
    private final List<Thread> tasks = new CopyOnWriteArrayList<>();

    @Inject
    BackgroundTasks(
            StoredCallLedger ledger,
            LoadAwareRouter router,
            FairAdmission admission,
            UsageReplicator replicator,
            ZoneUsageFlush zoneFlush,
            List<ScopeOwner> owners) {
        this.ledger = ledger;
        this.router = router;
        this.admission = admission;
        this.replicator = replicator;
        this.zoneFlush = zoneFlush;
        this.owners = owners;
    }

    void start() {
        router.start();
        admission.start();
        tasks.add(Thread.ofVirtual().name("usage-replicator").start(replicator));
        repeat("call-ledger", StoredCallLedger.MAINTENANCE_INTERVAL, ledger::maintain);
        repeat("usage-flush", ZoneUsageFlush.INTERVAL, this::flush);
        owners.forEach(ScopeOwner::start);
    }

    private void flush() {
        try {
            zoneFlush.flushOnce();
        } catch (StoreException failure) {
            LOG.warn("usage_flush_failed", EventField.of("reason", failure.getMessage()));
        }
    }

    private void repeat(String name, Duration interval, Runnable step) {
        tasks.add(Thread.ofVirtual().name(name).start(() -> {
            try {
                Thread.sleep(ThreadLocalRandom.current().nextLong(interval.toMillis()));
                while (true) {
                    step.run();
                    Thread.sleep(interval);
                }
            } catch (InterruptedException stopped) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    /** Hands over all scopes, in bounded time; call it before the tasks are stopped. */
    void releaseScopes() throws InterruptedException {
        owners.forEach(ScopeOwner::requestRelease);
        long limit = System.nanoTime() + RELEASE_LIMIT.toNanos();
        while (!owners.stream().allMatch(ScopeOwner::isStopped) && System.nanoTime() < limit) {
            Thread.sleep(RELEASE_POLL);
        }
    }

    void stop() {
        tasks.forEach(Thread::interrupt);
        router.stop();
        admission.stop();
    }
}
