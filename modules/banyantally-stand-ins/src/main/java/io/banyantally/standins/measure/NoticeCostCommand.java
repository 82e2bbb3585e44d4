package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.placement.Candidate;
import io.banyantally.internal.placement.LeastLoadedPlacement;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.UpstreamNotices;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures a gateway's decision for a plain request, and how much of it the notices of upstreams take: without the
 * check, without a notice, and with a fifth leaving and a fifth waiting. The three take turns, so that they share the
 * machine's other load.
 */
@Command(
        name = "notices",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of upstreams that leave or wait for a decision.")
public final class NoticeCostCommand implements Callable<Integer> {

    private static final int DECISIONS_OF_A_TURN = 2_000;
    private static final int WARM_UP_TURNS = 5;
    private static final double NANOS_PER_MICRO = 1e3;

    @Option(names = "--upstreams", defaultValue = "500", description = "upstreams (default: ${DEFAULT-VALUE})")
    private int upstreams;

    @Option(names = "--turns", defaultValue = "50", description = "turns of each kind (default: ${DEFAULT-VALUE})")
    private int turns;

    private final MonotonicClock clock = MonotonicClock.SYSTEM;
    private final UpstreamTracks tracks = new UpstreamTracks(clock);
    private final LeastLoadedPlacement placement = new LeastLoadedPlacement(new SplittableRandom(1));
    private final Placement.Demand demand = new Placement.Demand(Optional.empty(), Duration.ofMillis(100));

    @Override
    public Integer call() {
        List<ReplicaEntry> entries = entries();
        UpstreamNotices quiet = notices();
        UpstreamNotices busy = notices();
        for (int number = 0; number < upstreams; number++) {
            if (number % 5 < 2) {
                boolean leaving = number % 5 == 0;
                Optional<Duration> wait = leaving ? Optional.empty() : Optional.of(Duration.ofMinutes(1));
                busy.record(
                        entries.get(number),
                        new ResponseMetadata(
                                false,
                                false,
                                true,
                                Optional.empty(),
                                Optional.empty(),
                                leaving,
                                wait,
                                OptionalDouble.empty()),
                        "attempt");
            }
        }
        List<UnaryOperator<List<ReplicaEntry>>> kinds =
                List.of(UnaryOperator.identity(), quiet::accepting, busy::accepting);
        long[] nanos = new long[kinds.size()];
        long[] noticeNanos = new long[kinds.size()];
        for (int turn = -WARM_UP_TURNS; turn < turns; turn++) {
            for (int kind = 0; kind < kinds.size(); kind++) {
                UnaryOperator<List<ReplicaEntry>> accepting = kinds.get(kind);
                long start = System.nanoTime();
                for (int count = 0; count < DECISIONS_OF_A_TURN; count++) {
                    decide(accepting.apply(entries));
                }
                long afterDecisions = System.nanoTime();
                for (int count = 0; count < DECISIONS_OF_A_TURN; count++) {
                    List<ReplicaEntry> _ = accepting.apply(entries);
                }
                if (turn >= 0) {
                    nanos[kind] += afterDecisions - start;
                    noticeNanos[kind] += System.nanoTime() - afterDecisions;
                }
            }
        }
        List<String> names = List.of("unchecked", "no_notice", "two_fifths");
        for (int kind = 0; kind < kinds.size(); kind++) {
            System.out.printf(
                    Locale.ROOT,
                    "upstreams=%d notices=%s decisionMicros=%.2f ratio=%.2f noticesMicros=%.2f%n",
                    upstreams,
                    names.get(kind),
                    micros(nanos[kind]),
                    (double) nanos[kind] / nanos[0],
                    micros(noticeNanos[kind]));
        }
        return 0;
    }

    private void decide(List<ReplicaEntry> accepting) {
        List<Candidate> candidates = tracks.candidates(accepting);
        if (!(placement.decide(demand, candidates) instanceof Placement.Decision.Send)) {
            throw new IllegalStateException("no upstream was chosen among " + candidates.size());
        }
    }

    private double micros(long totalNanos) {
        return totalNanos / NANOS_PER_MICRO / DECISIONS_OF_A_TURN / turns;
    }

    private UpstreamNotices notices() {
        return new UpstreamNotices(clock, new SplittableRandom(1), new MetricRegistry());
    }

    private List<ReplicaEntry> entries() {
        List<ReplicaEntry> entries = new ArrayList<>();
        for (int number = 0; number < upstreams; number++) {
            entries.add(new ReplicaEntry(
                    new UpstreamId("u" + number),
                    new ServiceName("service"),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + number),
                    new AvailabilityZone("zone-a"),
                    8,
                    false,
                    EngineStage.NONE,
                    false,
                    OptionalLong.of(1),
                    OptionalLong.empty()));
        }
        return entries;
    }
}
