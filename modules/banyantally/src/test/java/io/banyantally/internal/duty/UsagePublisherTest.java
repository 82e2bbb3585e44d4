package io.banyantally.internal.duty;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

final class UsagePublisherTest {

    /** A reported window may be off by this part of its requests. */
    private static final double TOLERATED_PART = 0.05;

    /** The number of VMs of the deployments that lose all processes at once in the incidents. */
    private static final int SMALL_DEPLOYMENT = 10;

    private static final Duration WINDOW = Duration.ofSeconds(5);

    /** The store's rate of writes, from the deployments' sheets. */
    private static final double STORE_WRITES_PER_SECOND = 400;

    /** Guards against a wrong report after the death of all processes at once, which small deployments see. */
    @Test
    void deathOfAllVmsOfASmallDeploymentLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= SMALL_DEPLOYMENT; vms++) {
            Duration meanLoss = UsagePublisher.interval(vms).dividedBy(2);
            assertTrue(
                    meanLoss.toMillis() <= TOLERATED_PART * WINDOW.toMillis(),
                    vms + " VMs lose " + meanLoss + " of a window");
        }
    }

    /** Guards against a wrong report after the death of one process of many. */
    @Test
    void deathOfOneVmLosesATolerablePartOfAWindow() {
        for (int vms = 1; vms <= 3300; vms++) {
            assertTrue(UsagePublisher.interval(vms).toMillis() / (double) vms <= TOLERATED_PART * WINDOW.toMillis());
        }
    }

    /** Guards against usage that takes the rate of writes which leases and orders need. */
    @Test
    void smallDeploymentsTakeATenthOfTheStoresRate() {
        for (int vms = 1; vms <= 40; vms++) {
            double writesPerSecond = vms * 1000.0 / UsagePublisher.interval(vms).toMillis();
            assertTrue(writesPerSecond <= STORE_WRITES_PER_SECOND / 10, vms + " VMs write " + writesPerSecond);
        }
    }
}
