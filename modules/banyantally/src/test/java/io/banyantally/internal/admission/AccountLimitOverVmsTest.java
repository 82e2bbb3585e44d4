package io.banyantally.internal.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.ClientAccountParameters;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class AccountLimitOverVmsTest {
    private static final int VMS = 6;
    private static final double LIMIT = 120;
    private static final double ROUNDING = 1e-9;
    private static final ServiceCapacity UNLIMITED_CAPACITY = new ServiceCapacity(1e9, 1e9, 1e6, 1e9);
    private static final WorkEstimate SHORT_REQUEST = new WorkEstimate(100, 10);

    private final ClientAccountParameters account = AdmissionFixture.account("limited", 0, 1, LIMIT);
    private final AdmissionFixture fixture = new AdmissionFixture(VMS, UNLIMITED_CAPACITY, account);

    private double shareSum() {
        return fixture.vms.stream()
                .mapToDouble(vm -> vm.shareOf(account.account()))
                .sum();
    }

    private boolean admitAndFinish(int vm) {
        var answer = fixture.submit(vm, account, SHORT_REQUEST);
        if (answer.isCompletedExceptionally()) {
            return false;
        }
        answer.join().finish(10);
        return true;
    }

    /** Guards against an account limit that each VM, or each side of a network partition, grants in full. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void limitHoldsOverAllVmsUnderPartitions(long seed) {
        RandomGenerator random = new SplittableRandom(seed);
        int admitted = 0;
        int busy = 0;
        int seconds = 60;
        for (int tick = 0; tick < seconds * 100; tick++) {
            if (tick % 500 == 0) {
                busy = random.nextInt(VMS);
            }
            if (tick % 300 == 0) {
                changeLinks(random);
            }
            for (int request = 0; request < 4; request++) {
                admitted += admitAndFinish(random.nextInt(3) > 0 ? busy : random.nextInt(VMS)) ? 1 : 0;
            }
            fixture.clock.advance(Duration.ofMillis(10));
            if (tick % 10 == 0) {
                // The VMs run their exchange rounds in random order.
                fixture.vms.get(random.nextInt(VMS)).exchangeDemand();
            }
            assertTrue(
                    shareSum() <= 1 + ROUNDING, "seed " + seed + " tick " + tick + ": shares add up to " + shareSum());
        }
        double allowed = LIMIT * seconds + LIMIT + VMS;
        assertTrue(admitted <= allowed, "seed " + seed + ": " + admitted + " admitted, " + allowed + " allowed");
    }

    private void changeLinks(RandomGenerator random) {
        if (random.nextInt(3) == 0) {
            fixture.hub.restoreAll();
            return;
        }
        int one = random.nextInt(VMS);
        int other = (one + 1 + random.nextInt(VMS - 1)) % VMS;
        switch (random.nextInt(3)) {
            case 0 -> fixture.hub.isolate(AdmissionFixture.vmId(one));
            case 1 -> fixture.hub.cut(AdmissionFixture.vmId(one), AdmissionFixture.vmId(other));
            default -> fixture.hub.cutOneWay(AdmissionFixture.vmId(one), AdmissionFixture.vmId(other));
        }
    }

    /**
     * Guards against shares that stay even, so that a VM with all the demand can use only a small part of the limit.
     */
    @Test
    void shareFollowsDemand() {
        for (int tick = 0; tick < 6_000; tick++) {
            admitAndFinish(2);
            fixture.clock.advance(Duration.ofMillis(10));
            if (tick % 50 == 0) {
                fixture.exchangeAll();
            }
        }
        double share = fixture.vms.get(2).shareOf(account.account());
        assertTrue(share > 0.6, "the share of the only busy VM is " + share + " after 60 s");
    }
}
