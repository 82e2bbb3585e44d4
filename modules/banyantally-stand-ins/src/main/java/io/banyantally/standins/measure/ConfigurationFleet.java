package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.configuration.Pause;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AdapterName;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The configuration components of many VMs in one process, which share one in-memory key-value store. */
final class ConfigurationFleet implements AutoCloseable {

    private static final Duration ROSTER_LIMIT = Duration.ofMinutes(2);

    final CountingKeyValueStore store = new CountingKeyValueStore(new InMemoryKeyValueStore(MonotonicClock.SYSTEM));
    final PayloadCountingNetwork links;
    final List<ConfigurationPart> parts = new ArrayList<>();

    ConfigurationFleet(int vms, int zones, Duration oneWayLatency) {
        links = new PayloadCountingNetwork(oneWayLatency);
        for (int index = 0; index < vms; index++) {
            parts.add(part("vm-" + index, "zone-" + index % zones));
        }
    }

    private ConfigurationPart part(String vm, String zone) {
        Peer self = new Peer(new VmId(vm), Incarnation.draw(), new AvailabilityZone(zone));
        Timeline timeline = new Timeline(self.vm(), self.incarnation(), 100, event -> {});
        return new ConfigurationPart(
                self,
                store,
                links.join(self),
                MonotonicClock.SYSTEM,
                timeline,
                new Invariants(new MetricRegistry(), timeline),
                Thread::startVirtualThread,
                Pause.SLEEP);
    }

    /** Adds a VM to the first zone and starts it. */
    ConfigurationPart startAdditionalVm() {
        ConfigurationPart part = part("vm-" + parts.size(), "zone-0");
        parts.add(part);
        part.start();
        return part;
    }

    /** Starts all VMs and waits until they are in the roster; returns how long that took. */
    Duration start() throws InterruptedException {
        long start = System.nanoTime();
        parts.forEach(ConfigurationPart::start);
        while (parts.stream().anyMatch(part -> part.view().current().roster().size() < parts.size())) {
            if (System.nanoTime() - start > ROSTER_LIMIT.toNanos()) {
                throw new IllegalStateException(
                        "only " + parts.getFirst().view().current().roster().size() + " VMs joined the roster in "
                                + ROSTER_LIMIT);
            }
            Thread.sleep(5);
        }
        return Duration.ofNanos(System.nanoTime() - start);
    }

    /** Waits until every VM has applied a revision. */
    void await(Revision revision) throws InterruptedException {
        for (ConfigurationPart part : parts) {
            while (revision.isAfter(part.view().current().revision())) {
                Thread.sleep(Duration.ofNanos(100_000));
            }
        }
    }

    static ClientAccountParameters account(int number, int priority) {
        return new ClientAccountParameters(
                new ClientAccountId("account-" + number),
                Set.of(new ModelName("manual-large"), new ModelName("manual-small")),
                Set.of(new AdapterName("adapter-" + number)),
                Set.of(new ServiceName("harbour-api")),
                priority,
                1,
                20,
                50_000,
                64);
    }

    @Override
    public void close() {
        try {
            for (ConfigurationPart part : parts) {
                part.stop();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
