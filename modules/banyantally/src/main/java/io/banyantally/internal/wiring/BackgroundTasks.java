package io.banyantally.internal.wiring;

import io.banyantally.internal.admission.FairAdmission;
import io.banyantally.internal.authority.ScopeManager;
import io.banyantally.internal.fleet.FleetDemand;
import io.banyantally.internal.idempotency.StoredCallLedger;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.routing.LoadAwareRouter;
import io.banyantally.internal.routing.UpstreamHolds;
import io.banyantally.internal.time.PeriodicTasks;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.usage.UsageReplicator;
import io.banyantally.internal.usage.ZoneUsageFlush;
import io.banyantally.platform.StoreException;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;

/** Starts and stops the background tasks: maintenance of the call ledger, load and demand, usage, and owned scopes. */
@Singleton
final class BackgroundTasks {

    private static final EventLog LOG = EventLog.of(BackgroundTasks.class);

    /** Longer than the time limit of any order that the owner of a scope sends. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(10);

    private final StoredCallLedger ledger;
    private final LoadAwareRouter router;
    private final FairAdmission admission;
    private final UsageReplicator replicator;
    private final ZoneUsageFlush zoneFlush;
    private final ScopeManager scopes;
    private final UpstreamHolds holds;
    private final FleetDemand demand;
    private final PeriodicTasks tasks = new PeriodicTasks();
    private Thread replication;

    @Inject
    BackgroundTasks(
            StoredCallLedger ledger,
            LoadAwareRouter router,
            FairAdmission admission,
            UsageReplicator replicator,
            ZoneUsageFlush zoneFlush,
            ScopeManager scopes,
            UpstreamHolds holds,
            FleetDemand demand) {
        this.ledger = ledger;
        this.router = router;
        this.admission = admission;
        this.replicator = replicator;
        this.zoneFlush = zoneFlush;
        this.scopes = scopes;
        this.holds = holds;
        this.demand = demand;
    }

    void start() {
        router.start();
        admission.start();
        replication = Thread.ofVirtual().name("usage-replicator").start(replicator);
        tasks.startWithJitter("call-ledger", StoredCallLedger.MAINTENANCE_INTERVAL, ledger::maintain);
        tasks.startWithJitter("usage-flush", ZoneUsageFlush.INTERVAL, this::flush);
        holds.start();
        demand.start();
        scopes.start();
    }

    private void flush() {
        try {
            zoneFlush.flushOnce();
        } catch (StoreException failure) {
            LOG.warn("usage_flush_failed", EventField.of("reason", failure.getMessage()));
        }
    }

    /** Releases all scopes, with a time limit; must be called before {@link #stop}. */
    boolean releaseScopes() throws InterruptedException {
        return scopes.stop(RELEASE_TIMEOUT);
    }

    void stop() {
        tasks.stop();
        replication.interrupt();
        holds.stop();
        demand.stop();
        router.stop();
        admission.stop();
    }
}
