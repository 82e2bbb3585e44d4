package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.idempotency.CallIdentity;
import io.banyantally.internal.idempotency.StoredCallLedger;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.upstream.ServiceAnswer;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

/** Measures the calls to the key-value service for each call with an idempotency key, and the size of its record. */
final class CallMeasurement {
    private static final int TIMELINE_EVENTS = 100;
    private static final byte[] BODY = new byte[512];

    private final PrintStream out;

    CallMeasurement(PrintStream out) {
        this.out = out;
    }

    void run() throws InterruptedException {
        out.println("calls: calls writesPerCall readsPerCall grants largestRecordBytes (answer body 512 bytes)");
        for (int calls : new int[] {100, 1_000, 10_000}) {
            measure(calls);
        }
    }

    private void measure(int calls) throws InterruptedException {
        CountingInMemoryStore store = new CountingInMemoryStore(MonotonicClock.SYSTEM);
        Peer self = new Peer(new VmId("entry-vm-0"), Incarnation.draw(), new AvailabilityZone("zone-0"));
        Timeline timeline = new Timeline(self.vm(), self.incarnation(), TIMELINE_EVENTS, event -> {});
        StoredCallLedger ledger = new StoredCallLedger(
                store,
                new DelayedNetwork(Duration.ZERO).join(self),
                self,
                MonotonicClock.SYSTEM,
                new Invariants(new MetricRegistry(), timeline),
                timeline);
        for (int i = 0; i < calls; i++) {
            CallIdentity identity =
                    new CallIdentity(new ClientAccountId("lumenfar"), new ServiceName("harbour-api"), "order-" + i);
            ledger.run(identity, "hash", () -> new ServiceAnswer(200, List.of(), BODY));
        }
        out.printf(
                "%d %.4f %.4f %d %d%n",
                calls,
                store.writes.sum() / (double) calls,
                store.reads.sum() / (double) calls,
                store.grants.sum(),
                store.maximumValueBytes.getOrDefault("call", 0));
    }
}
