package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which statements of a limit hold. {@code LimitLoadTest} plays how VMs keep one together. */
final class UpstreamLimitsTest {

    private static final VmId PEER = new VmId("vm-2");
    private static final Duration MILLI = Duration.ofMillis(1);

    private final ManualClock clock = new ManualClock();
    private final UpstreamLimits limits = new UpstreamLimits(
            () -> new LimitSharers(1, 1, Duration.ofMillis(100)), clock, new Random(1), new MetricRegistry());

    /** Guards against an answer that was overtaken by the first one with a limit, and ends it. */
    @Test
    void overtakenAnswerNeitherEndsNorRaisesALimit() {
        long sentBefore = clock.nanoTime();
        clock.advance(MILLI);
        answer(1, OptionalDouble.of(5), clock.nanoTime());

        answer(1, OptionalDouble.empty(), sentBefore);
        answer(1, OptionalDouble.of(50), sentBefore);

        assertEquals(5, limit());
    }

    /** Guards against a lower limit that is ignored until an answer to a later request. */
    @Test
    void overtakenAnswerLowersALimit() {
        long sentBefore = clock.nanoTime();
        clock.advance(MILLI);
        answer(1, OptionalDouble.of(5), clock.nanoTime());

        answer(1, OptionalDouble.of(2), sentBefore);

        assertEquals(2, limit());
    }

    /** Guards against a restarted upstream that is held to the limit of its former start. */
    @Test
    void laterLifetimeStartsWithoutALimit() {
        answer(1, OptionalDouble.of(0), clock.nanoTime());

        assertEquals(List.of(entry(2)), limits.accepting(List.of(entry(2))));
    }

    /** Guards against a limit that another process at the upstream's address names. */
    @Test
    void answerOfAnotherInstanceCountsForNothing() {
        limits.record(entry(1), response(OptionalDouble.of(0), true), "a", clock.nanoTime());

        assertEquals(List.of(entry(1)), limits.accepting(List.of(entry(1))));
    }

    /** Guards against a limit that comes back from a VM which has not heard of its end. */
    @Test
    void earlierStatementOfAPeerDoesNotReplaceALaterOne() {
        answer(1, OptionalDouble.of(5), clock.nanoTime());
        List<LimitUse> former = limits.uses(vm -> false);
        clock.advance(Duration.ofMillis(20));
        answer(1, OptionalDouble.empty(), clock.nanoTime());
        clock.advance(MILLI);
        LimitUse use = former.getFirst();

        limits.receive(
                PEER, List.of(new LimitUse(use.upstream(), use.startedAtMillis(), use.limitPerSecond(), 21, 0, 0, 0)));

        assertEquals(-1, limit());
    }

    private void answer(long startedAtMillis, OptionalDouble limit, long sentAt) {
        limits.record(entry(startedAtMillis), response(limit, false), "a", sentAt);
    }

    private double limit() {
        return limits.uses(vm -> false).getFirst().limitPerSecond();
    }

    private static ResponseMetadata response(OptionalDouble limit, boolean otherInstance) {
        return new ResponseMetadata(
                false, otherInstance, true, Optional.of("a"), Optional.empty(), false, Optional.empty(), limit);
    }

    private static ReplicaEntry entry(long startedAtMillis) {
        return new ReplicaEntry(
                new UpstreamId("u1"),
                new ServiceName("service"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                new AvailabilityZone("zone-a"),
                6,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.of(startedAtMillis),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }
}
