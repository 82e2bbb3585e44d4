package io.banyantally.standins.measure;

import com.codahale.metrics.MetricRegistry;
import com.sun.management.ThreadMXBean;
import io.banyantally.deployment.DeploymentConfiguration;
import io.banyantally.deployment.DocumentReader;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.deployment.UnreadableDocumentException;
import io.banyantally.internal.deployment.ReplicaRegistry;
import io.banyantally.internal.deployment.StoreHealth;
import io.banyantally.internal.placement.LeastLoadedPlacement;
import io.banyantally.internal.placement.LimitSharers;
import io.banyantally.internal.placement.Placement;
import io.banyantally.internal.placement.PlainPlacement;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.internal.placement.UpstreamNotices;
import io.banyantally.internal.placement.UpstreamTrack;
import io.banyantally.internal.placement.UpstreamTracks;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntPredicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures a gateway's decision for a plain request, from the known upstreams to the send that the limit of the chosen
 * one leaves: without a notice, with a fifth of the upstreams leaving and a fifth waiting, with all but one waiting, and
 * with all slots occupied, without changes and with a send, an end and at times a peer's message between decisions. The
 * kinds take turns, so that they share the machine's other load.
 */
@Command(
        name = "notices",
        mixinStandardHelpOptions = true,
        description = "Measures the decision for a plain request while upstreams leave, wait or are busy.")
public final class NoticeCostCommand implements Callable<Integer> {

    private static final int DECISIONS_OF_A_TURN = 2_000;
    private static final int WARM_UP_TURNS = 5;
    private static final int SLOTS = 8;

    /** Decisions between two messages of a peer that has requests at all upstreams. */
    private static final int DECISIONS_OF_A_MESSAGE = 100;

    private static final double NANOS_PER_MICRO = 1e3;
    private static final ServiceName SERVICE = new ServiceName("service");

    @Option(names = "--upstreams", defaultValue = "500", description = "upstreams (default: ${DEFAULT-VALUE})")
    private int upstreams;

    @Option(names = "--turns", defaultValue = "50", description = "turns of each kind (default: ${DEFAULT-VALUE})")
    private int turns;

    @Option(
            names = "--peers",
            defaultValue = "0",
            description = "other VMs with a request at each upstream (default: ${DEFAULT-VALUE})")
    private int peers;

    private final MonotonicClock clock = MonotonicClock.SYSTEM;
    private final LeastLoadedPlacement placement = new LeastLoadedPlacement(ThreadLocalRandom::current);
    private final List<ReplicaEntry> entries = new ArrayList<>();
    private final Placement.Demand demand = new Placement.Demand(Optional.empty(), Duration.ofMillis(100));
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    @Override
    public Integer call() {
        for (int number = 0; number < upstreams; number++) {
            entries.add(entry(number));
        }
        ReplicaRegistry replicas = registry();
        List<Kind> kinds = List.of(
                new Kind("no_notice", replicas, number -> false, number -> false, 0, false),
                new Kind("two_fifths", replicas, number -> number % 5 == 0, number -> number % 5 == 1, 0, false),
                new Kind("one_open", replicas, number -> false, number -> number > 0, 0, false),
                new Kind("all_busy", replicas, number -> false, number -> false, SLOTS, false),
                new Kind("busy_changing", replicas, number -> false, number -> false, SLOTS, true));
        for (int turn = -WARM_UP_TURNS; turn < turns; turn++) {
            for (Kind kind : kinds) {
                kind.play(Math.max(0, turn));
            }
        }
        kinds.forEach(Kind::print);
        return 0;
    }

    private ReplicaRegistry registry() {
        ReplicaRegistry replicas = new ReplicaRegistry(new NumberedUpstreams(), new StoreHealth(clock), clock);
        List<StoreItem> items = new ArrayList<>();
        for (int number = 0; number < upstreams; number++) {
            items.add(new StoreItem(
                    new StoreKey("u" + number),
                    new VersionedValue(new byte[0], new StoreRevision(1)),
                    new StoreRevision(1)));
        }
        replicas.listed(new StoreListing(items, new StoreRevision(1)));
        return replicas;
    }

    private static ReplicaEntry entry(int number) {
        return new ReplicaEntry(
                new UpstreamId("u" + number),
                SERVICE,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 10_000 + number),
                new AvailabilityZone("zone-a"),
                SLOTS,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.of(1),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    /** A state of the upstreams, and the cost of decisions in it. */
    private final class Kind {
        private final String name;
        private final ReplicaRegistry replicas;
        private final UpstreamTracks tracks = new UpstreamTracks(clock);
        private final UpstreamNotices notices =
                new UpstreamNotices(clock, new SplittableRandom(1), new MetricRegistry());
        private final UpstreamLimits limits = new UpstreamLimits(
                () -> new LimitSharers(1, 1, Duration.ofMillis(100)), clock, new Random(1), new MetricRegistry());
        private final PlainPlacement plain = new PlainPlacement(notices, limits, tracks, placement, clock);
        private final double[] micros = new double[turns];
        private final double[] bytes = new double[turns];
        private final Deque<Sent> sent = new ArrayDeque<>();
        private final boolean changing;
        private int decisions;

        Kind(
                String name,
                ReplicaRegistry replicas,
                IntPredicate leaving,
                IntPredicate waiting,
                int requestsAtEach,
                boolean changing) {
            this.name = name;
            this.replicas = replicas;
            this.changing = changing;
            for (int number = 0; number < upstreams; number++) {
                ReplicaEntry entry = entry(number);
                if (leaving.test(number) || waiting.test(number)) {
                    notices.record(entry, statement(leaving.test(number)), "attempt");
                }
                for (int request = 0; request < requestsAtEach; request++) {
                    send(entry);
                }
                for (int peer = 0; peer < peers; peer++) {
                    tracks.of(entry).setPeerWork(new VmId("vm-" + peer), 1, 1, clock.nanoTime());
                }
            }
        }

        private static ResponseMetadata statement(boolean leaving) {
            return new ResponseMetadata(
                    false,
                    false,
                    true,
                    Optional.empty(),
                    Optional.empty(),
                    leaving,
                    leaving ? Optional.empty() : Optional.of(Duration.ofMinutes(1)),
                    OptionalDouble.empty());
        }

        void play(int turn) {
            long allocated = threads.getCurrentThreadAllocatedBytes();
            long start = System.nanoTime();
            for (int count = 0; count < DECISIONS_OF_A_TURN; count++) {
                decide();
            }
            micros[turn] = (System.nanoTime() - start) / NANOS_PER_MICRO / DECISIONS_OF_A_TURN;
            bytes[turn] = (double) (threads.getCurrentThreadAllocatedBytes() - allocated) / DECISIONS_OF_A_TURN;
        }

        private void decide() {
            if (!(plain.take(demand, replicas.replicas(SERVICE), replicas::isAccepting)
                    instanceof Placement.Decision.Send send)) {
                throw new IllegalStateException("no upstream was chosen");
            }
            if (changing) {
                send(send.candidate().entry());
                Sent oldest = sent.removeFirst();
                oldest.track().recordEnd(0, oldest.at());
                if (++decisions % DECISIONS_OF_A_MESSAGE == 0) {
                    receivePeerWork(decisions / DECISIONS_OF_A_MESSAGE);
                }
            }
        }

        private void send(ReplicaEntry entry) {
            Sent request = new Sent(tracks.of(entry), clock.nanoTime());
            request.track().recordSent(0, request.at());
            sent.addLast(request);
        }

        /** Receives the work of one peer, which has changed at all upstreams since the last message. */
        private void receivePeerWork(int message) {
            VmId peer = new VmId("peer");
            for (int number = 0; number < upstreams; number++) {
                tracks.of(entries.get(number)).setPeerWork(peer, (number + message) % 3, 1, clock.nanoTime());
            }
        }

        void print() {
            Arrays.sort(micros);
            Arrays.sort(bytes);
            System.out.printf(
                    Locale.ROOT,
                    "upstreams=%d state=%s decisionMicros=%.2f (%.2f to %.2f) allocatedBytes=%.0f%n",
                    upstreams,
                    name,
                    micros[turns / 2],
                    micros[0],
                    micros[turns - 1],
                    bytes[turns / 2]);
        }
    }

    private record Sent(UpstreamTrack track, long at) {}

    /** Reads entries whose key is the upstream's id. */
    private static final class NumberedUpstreams implements DocumentReader {

        @Override
        public DeploymentConfiguration configuration(byte[] document) throws UnreadableDocumentException {
            throw new UnreadableDocumentException("no configuration is stored");
        }

        @Override
        public ReplicaEntry replica(StoreKey key, byte[] document) {
            return entry(Integer.parseInt(key.path().substring(1)));
        }
    }
}
