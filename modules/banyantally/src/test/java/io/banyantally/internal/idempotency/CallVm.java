package io.banyantally.internal.idempotency;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.ProcessKilledError;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import java.util.Optional;

/** A simulated process with a ledger and its own faulty connection to the store. */
final class CallVm {
    final VmId id;
    final ManualClock clock = new ManualClock();
    final FaultyKeyValueStore store;
    final StoredCallLedger ledger;
    private final Invariants invariants;
    private final CallSimulation simulation;
    boolean alive = true;
    boolean platformDown;
    boolean hasSent;

    CallVm(CallSimulation simulation, VmId id, long incarnation) {
        this.simulation = simulation;
        this.id = id;
        Peer self = new Peer(id, new Incarnation(incarnation), new AvailabilityZone("zone-" + id));
        Timeline timeline = new Timeline(id, self.incarnation(), 100, event -> {});
        store = new FaultyKeyValueStore(simulation.shared);
        store.setPlan(this::decide);
        invariants = new Invariants(new MetricRegistry(), timeline);
        ledger = new StoredCallLedger(store, simulation.hub.join(self), self, clock, invariants, timeline);
    }

    private StoreFault decide(StoreOperation operation, Optional<?> key, boolean after) {
        if (!alive || platformDown) {
            return StoreFault.UNAVAILABLE;
        }
        CallStep step = switch (operation) {
            case COMPARE_AND_SWAP -> hasSent ? CallStep.OUTCOME : CallStep.CLAIM;
            case GET, AWAIT_CHANGE -> CallStep.READ;
            case GRANT_LEASE, RENEW_LEASE, REVOKE_LEASE -> CallStep.GRANT_LEASE;
        };
        StoreFault fault = simulation.listener.onStep(this, step, after);
        return alive && !platformDown ? fault : StoreFault.UNAVAILABLE;
    }

    void kill() {
        alive = false;
        simulation.hub.remove(id);
        throw new ProcessKilledError();
    }

    void cutFromAll() {
        platformDown = true;
        simulation.hub.isolate(id);
    }

    long violations() {
        return invariants.violations(Promise.AT_MOST_ONCE) + invariants.violations(Promise.TRUE_NOT_RUN);
    }
}
