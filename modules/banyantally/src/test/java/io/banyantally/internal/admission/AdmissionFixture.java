package io.banyantally.internal.admission;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.configuration.Configuration;
import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

/** Several VMs with admission for one service, connected by a fake peer network, on one manual clock. */
final class AdmissionFixture {
    static final ServiceName SERVICE = new ServiceName("asistente");

    final ManualClock clock = new ManualClock();
    final FakePeerHub hub = new FakePeerHub();
    final List<FairAdmission> vms = new ArrayList<>();
    private final ServiceCapacity capacity;

    AdmissionFixture(int count, ServiceCapacity capacity, ClientAccountParameters... accounts) {
        this.capacity = capacity;
        Set<VmId> roster = new TreeSet<>();
        for (int vm = 0; vm < count; vm++) {
            roster.add(vmId(vm));
        }
        Map<ClientAccountId, ClientAccountParameters> byId = new HashMap<>();
        for (ClientAccountParameters account : accounts) {
            byId.put(account.account(), account);
        }
        Configuration configuration = new Configuration(Revision.NONE, Map.of(), byId, Map.of(), roster);
        for (int vm = 0; vm < count; vm++) {
            Peer self = new Peer(vmId(vm), new Incarnation(vm + 1L), new AvailabilityZone("zone"));
            vms.add(new FairAdmission(
                    self.vm(), clock, service -> Optional.of(this.capacity), () -> configuration, hub.join(self)));
        }
    }

    static VmId vmId(int vm) {
        return new VmId("entry-" + vm);
    }

    static ClientAccountParameters account(String name, int priority, double weight, double requestsPerSecond) {
        return new ClientAccountParameters(
                new ClientAccountId(name),
                Set.of(),
                Set.of(),
                Set.of(),
                priority,
                weight,
                requestsPerSecond,
                1e12,
                1_000_000);
    }

    CompletableFuture<AdmissionTicket> submit(int vm, ClientAccountParameters account, WorkEstimate work) {
        return vms.get(vm).submit(new AdmissionRequest(account, SERVICE, work, Duration.ofMillis(1_400)));
    }

    void exchangeAll() {
        vms.forEach(FairAdmission::exchangeDemand);
    }
}
