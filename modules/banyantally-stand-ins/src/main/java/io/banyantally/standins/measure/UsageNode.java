package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.internal.usage.UsageBuckets;
import io.banyantally.internal.usage.UsageCounters;
import io.banyantally.internal.usage.UsageGatherHandler;
import io.banyantally.internal.usage.UsageGatherer;
import io.banyantally.internal.usage.UsageReplicator;
import io.banyantally.internal.usage.UsageSealer;
import io.banyantally.internal.usage.ZoneUsageFlush;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.FencingNumber;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.UsageFigures;
import io.banyantally.platform.UsageReportSink;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;

/** The usage accounting of one VM, with the replication thread that the daemon runs for it. */
final class UsageNode {

    private static final Duration WINDOW = Duration.ofSeconds(60);

    private static final int TIMELINE_EVENTS = 100;

    final Peer self;
    final DelayedNetwork.Node network;
    final UsageCounters counters;
    final UsageReplicator replicator;
    final ZoneUsageFlush flush;
    private final UsageGatherer gatherer;
    private final KeyValueStore store;
    private final MonotonicClock sealingClock;
    private final Timeline timeline;
    private final Invariants invariants;
    private final Thread replicationThread;

    UsageNode(
            DelayedNetwork delayedNetwork,
            int number,
            AvailabilityZone zone,
            Set<AvailabilityZone> zones,
            KeyValueStore store,
            MonotonicClock sealingClock) {
        this.store = store;
        this.sealingClock = sealingClock;
        self = new Peer(new VmId("entry-vm-" + number), Incarnation.draw(), zone);
        network = delayedNetwork.join(self);
        counters = new UsageCounters(self);
        MetricRegistry metrics = new MetricRegistry();
        replicator = new UsageReplicator(network, self, counters, MonotonicClock.SYSTEM, metrics);
        UsageGatherHandler handler = new UsageGatherHandler(network, counters);
        timeline = new Timeline(self.vm(), self.incarnation(), TIMELINE_EVENTS, event -> {});
        invariants = new Invariants(metrics, timeline);
        gatherer = new UsageGatherer(
                network, self, handler, store, () -> zones, MonotonicClock.SYSTEM, Thread.ofVirtual()::start);
        flush = new ZoneUsageFlush(store, network, self, counters, MonotonicClock.SYSTEM, () -> true, metrics);
        replicationThread = Thread.ofVirtual().start(replicator);
    }

    void stop() {
        replicationThread.interrupt();
    }

    /** Starts a thread that seals the usage windows of a bucket by the sealing clock. */
    Thread startSealing(int bucket, UsageReportSink sink) {
        UsageSealer sealer = new UsageSealer(bucket, WINDOW, store, gatherer, sink, sealingClock, invariants, timeline);
        return Thread.ofVirtual().start(() -> {
            try {
                sealer.run(new PermanentAuthority(UsageBuckets.scopeOf(bucket)));
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Records the usage of one call of every account concurrently and waits for all of them. */
    void serveOnce(List<ClientAccountId> accounts, UsageFigures figures) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(accounts.size());
        for (ClientAccountId account : accounts) {
            Thread.ofVirtual().start(() -> {
                try {
                    replicator.recordBeforeDelivery(account, figures);
                } catch (InterruptedException interrupted) {
                    Thread.currentThread().interrupt();
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
    }

    /** Ownership that lasts for the whole measurement. Writes are ignored, because a sealer writes no scope record. */
    private record PermanentAuthority(Scope scope) implements OwnedScope {
        @Override
        public FencingNumber fencingNumber() {
            return new FencingNumber(1);
        }

        @Override
        public boolean isGranted() {
            return true;
        }

        @Override
        public long sequence() {
            return 0;
        }

        @Override
        public byte[] payload() {
            return new byte[0];
        }

        @Override
        public void write(long sequence, byte[] payload) {}

        @Override
        public void setOutcomesKnown(boolean known) {}

        @Override
        public void abandon(String reason) {}
    }
}
