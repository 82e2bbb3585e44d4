package io.banyantally.internal.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against demand that a plan counts twice or not at all. */
final class FleetDemandTest {

    private static final ServiceName SERVICE = new ServiceName("chat");

    private final ManualClock clock = new ManualClock();
    private final FakePeerHub hub = new FakePeerHub();
    private final List<FleetDemand> demands = new ArrayList<>();
    private final List<DemandMeter> meters = new ArrayList<>();

    private void start(int vms, int zones) {
        for (int number = 0; number < vms; number++) {
            Peer self = new Peer(
                    new VmId("vm-" + number), new Incarnation(number), new AvailabilityZone("z" + number % zones));
            DemandMeter meter = new DemandMeter();
            meters.add(meter);
            demands.add(new FleetDemand(self, hub.join(self), clock, meter));
        }
    }

    private void round() {
        clock.advance(FleetDemand.INTERVAL);
        meters.forEach(meter -> {
            meter.addPromptTokens(SERVICE, 2_000);
            meter.addPromptTokens(SERVICE, 6_000);
            meter.addOutputTokens(SERVICE, 100);
        });
        demands.forEach(FleetDemand::round);
    }

    @Test
    void aReaderKnowsTheDemandOnAllVms() {
        start(9, 3);
        round();
        round();
        long knowing = demands.stream()
                .map(demand -> demand.demand(SERVICE).orElseThrow())
                .filter(demand -> demand.equals(new Demand(36_000, 450, 0.75)))
                .count();
        assertEquals(6, knowing);
    }

    @Test
    void theDemandOfAVmThatIsGoneIsForgotten() {
        start(4, 1);
        round();
        round();
        hub.remove(new VmId("vm-3"));
        clock.advance(FleetDemand.MEMORY);
        meters.removeLast();
        demands.removeLast();
        round();
        round();
        demands.forEach(demand ->
                assertEquals(12_000, demand.demand(SERVICE).orElseThrow().prefillTokensPerSecond(), 1));
    }
}
