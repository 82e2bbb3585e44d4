package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Simulates the requests to a plain service in several zones, in virtual time. VMs learn of each other's requests by an
 * exchange of sums: every 20 ms below 17 VMs, and from 17 on every 100 ms and 40 ms late.
 */
final class ZoneLoadSimulation {

    static final Duration LATENCY_TARGET = Duration.ofMillis(150);

    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), LATENCY_TARGET);
    private static final int LARGE_FLEET = 17;
    private static final double SHORTEST_MILLIS = 20;
    private static final double LONGEST_MILLIS = 60;
    private static final double ONE_WAY_MILLIS = 1.4;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int WINDOW_MILLIS = 1000;
    private static final VmId PEERS = new VmId("peers");

    private final ManualClock clock = new ManualClock();
    private final Setup setup;
    private final List<Upstream> upstreams = new ArrayList<>();
    private final Map<UpstreamId, Upstream> byId = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Result result;
    private List<ReplicaEntry> entries = List.of();
    private long sequence;
    private double now;

    ZoneLoadSimulation(Setup setup, Policy policy, long seed) {
        this.setup = setup;
        result = new Result(setup);
        for (int zone = 0; zone < setup.zones; zone++) {
            for (int number = 0; number < setup.upstreamsPerZone; number++) {
                Upstream upstream = new Upstream(entry(zone, number, setup.slots), zone);
                upstreams.add(upstream);
                byId.put(upstream.entry.id(), upstream);
            }
        }
        for (int number = 0; number < setup.vms; number++) {
            vms.add(new Vm(number % setup.zones, policy, seed * setup.vms + number));
        }
    }

    Result run(long seed, Duration duration) {
        Random trace = new Random(seed);
        double exchangeMillis = setup.vms < LARGE_FLEET ? 20 : 100;
        double lateMillis = setup.vms < LARGE_FLEET ? 1 : 40;
        for (double at = 0; at < duration.toMillis(); at += exchangeMillis) {
            event(at, () -> exchange(lateMillis));
        }
        for (int zone = 0; zone < setup.zones; zone++) {
            int itsZone = zone;
            List<Vm> itsVms = vms.stream().filter(vm -> vm.zone == itsZone).toList();
            double perMilli = setup.utilization(zone)
                    * setup.upstreamsPerZone
                    * setup.slots
                    / ((SHORTEST_MILLIS + LONGEST_MILLIS) / 2);
            for (double at = 0; at < duration.toMillis(); at += -Math.log(1 - trace.nextDouble()) / perMilli) {
                Vm vm = itsVms.get(trace.nextInt(itsVms.size()));
                double millis = SHORTEST_MILLIS + trace.nextDouble() * (LONGEST_MILLIS - SHORTEST_MILLIS);
                event(at, () -> request(vm, millis));
            }
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            clock.advance(Duration.ofNanos((long) (Math.max(0, event.at - now) * NANOS_PER_MILLI)));
            now = event.at;
            event.action.run();
        }
        return result;
    }

    private void event(double at, Runnable action) {
        events.add(new Event(at, sequence++, action));
    }

    /** Returns whether the first zone has upstreams, which it has not in the part of the run that the setup states. */
    private boolean isPresent(Upstream upstream) {
        return upstream.zone != 0 || now < setup.goneFromMillis || now >= setup.goneUntilMillis;
    }

    private List<ReplicaEntry> present() {
        List<ReplicaEntry> present = upstreams.stream()
                .filter(this::isPresent)
                .map(upstream -> upstream.entry)
                .toList();
        // The same list for all requests until it changes, as in the gateway.
        if (present.size() != entries.size()) {
            entries = present;
        }
        return entries;
    }

    private void exchange(double lateMillis) {
        List<Runnable> messages = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            int total = 0;
            for (Vm vm : vms) {
                total += vm.tracks.of(upstream.entry).ownWork().requests();
            }
            for (Vm vm : vms) {
                UpstreamTrack track = vm.tracks.of(upstream.entry);
                int others = total - track.ownWork().requests();
                messages.add(() -> track.setPeerWork(PEERS, others, others, clock.nanoTime()));
            }
        }
        event(now + lateMillis, () -> messages.forEach(Runnable::run));
    }

    private void request(Vm vm, double millis) {
        int window = (int) (now / WINDOW_MILLIS);
        result.offered++;
        result.offeredByWindow[vm.zone][window]++;
        if (!(vm.choose(present()) instanceof Placement.Decision.Send send)) {
            return;
        }
        Upstream upstream = byId.get(send.candidate().entry().id());
        boolean leaves = upstream.zone != vm.zone;
        if (leaves) {
            result.left++;
            result.leftByWindow[vm.zone][window]++;
        }
        UpstreamTrack track = vm.tracks.of(upstream.entry);
        track.recordSent(send.work(), clock.nanoTime());
        double oneWay = leaves ? ONE_WAY_MILLIS : 0;
        Running running = new Running(track, clock.nanoTime(), now, millis, send.work(), oneWay);
        event(now + oneWay, () -> upstream.receive(running));
    }

    private static ReplicaEntry entry(int zone, int number, int slots) {
        return new ReplicaEntry(
                new UpstreamId("u" + zone + "-" + number),
                new ServiceName("plain"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                zoneName(zone),
                slots,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    private static AvailabilityZone zoneName(int zone) {
        return new AvailabilityZone("zone-" + zone);
    }

    /** How VMs choose upstreams. */
    enum Policy {
        ALWAYS_NEAREST,
        ALWAYS_LEAST_LOADED,
        BY_ZONE
    }

    /**
     * What is played.
     *
     * @param firstZoneUtilization the requests of the first zone as a part of what its upstreams can serve
     * @param goneFromMillis the time from which the first zone has no upstreams
     * @param goneUntilMillis the time at which its upstreams are back
     */
    record Setup(
            int zones,
            int vms,
            int upstreamsPerZone,
            int slots,
            double firstZoneUtilization,
            double utilization,
            double goneFromMillis,
            double goneUntilMillis) {

        double utilization(int zone) {
            return zone == 0 ? firstZoneUtilization : utilization;
        }
    }

    /** What callers got, and how many requests left their zone in each second. */
    static final class Result {

        /** A smaller change of the share that leaves a zone is taken for chance. */
        private static final double SMALLEST_TURN = 0.15;

        private static final int MAXIMUM_WINDOWS = 100;

        int offered;
        int inTime;
        int left;
        final int[][] offeredByWindow;
        final int[][] leftByWindow;

        Result(Setup setup) {
            offeredByWindow = new int[setup.zones][MAXIMUM_WINDOWS];
            leftByWindow = new int[setup.zones][MAXIMUM_WINDOWS];
        }

        double inTimeShare() {
            return inTime / (double) offered;
        }

        double leftShare() {
            return left / (double) offered;
        }

        /** Returns the share of a zone's requests that left it in the seconds from {@code from} to {@code until}. */
        double leftShare(int zone, int from, int until) {
            int offeredThen = 0;
            int leftThen = 0;
            for (int window = from; window < until; window++) {
                offeredThen += offeredByWindow[zone][window];
                leftThen += leftByWindow[zone][window];
            }
            return leftThen / (double) Math.max(1, offeredThen);
        }

        /**
         * Returns how often the share that leaves a zone turned from rising to falling or back in the seconds from
         * {@code from} to {@code until}.
         */
        int turns(int zone, int from, int until) {
            int turns = 0;
            int direction = 0;
            double extreme = leftShare(zone, from, from + 1);
            for (int window = from + 1; window < until; window++) {
                double share = leftShare(zone, window, window + 1);
                if (direction * (share - extreme) > 0) {
                    extreme = share;
                } else if (Math.abs(share - extreme) >= SMALLEST_TURN) {
                    turns += direction == 0 ? 0 : 1;
                    direction = share > extreme ? 1 : -1;
                    extreme = share;
                }
            }
            return turns;
        }

        @Override
        public String toString() {
            return "in time " + inTimeShare() + ", left " + leftShare();
        }
    }

    private final class Vm {
        private final int zone;
        private final Policy policy;
        private final UpstreamTracks tracks = new UpstreamTracks(clock);
        private final UpstreamNotices notices;
        private final UpstreamLimits limits;
        private final LeastLoadedPlacement placement;
        private List<ReplicaEntry> seen = List.of();
        private List<ReplicaEntry> nearest = List.of();

        Vm(int zone, Policy policy, long seed) {
            this.zone = zone;
            this.policy = policy;
            RandomGenerator random = new SplittableRandom(seed);
            notices = new UpstreamNotices(clock, new SplittableRandom(seed), new MetricRegistry());
            limits = new UpstreamLimits(
                    () -> new LimitSharers(setup.vms, setup.vms, Duration.ZERO),
                    clock,
                    new Random(seed),
                    new MetricRegistry());
            // A request and its response of a kilobyte each are worth 2 ms.
            ZoneCost cost = new ZoneCost(zoneName(zone), policy == Policy.BY_ZONE ? 1000 : 0);
            placement = new LeastLoadedPlacement(() -> random, new ZoneSpill(cost, clock, new MetricRegistry()));
        }

        Placement.Decision choose(List<ReplicaEntry> present) {
            return new PlainPlacement(notices, limits, tracks, placement, clock)
                    .take(DEMAND, policy == Policy.ALWAYS_NEAREST ? nearest(present) : present, upstream -> true);
        }

        @SuppressWarnings("ReferenceEquality") // The list is replaced when the upstreams change.
        private List<ReplicaEntry> nearest(List<ReplicaEntry> present) {
            if (seen != present) {
                seen = present;
                List<ReplicaEntry> own = present.stream()
                        .filter(entry -> entry.zone().equals(zoneName(zone)))
                        .toList();
                nearest = own.isEmpty() ? present : own;
            }
            return nearest;
        }
    }

    private final class Upstream {
        private final ReplicaEntry entry;
        private final int zone;
        private final Deque<Running> waiting = new ArrayDeque<>();
        private int running;

        Upstream(ReplicaEntry entry, int zone) {
            this.entry = entry;
            this.zone = zone;
        }

        void receive(Running request) {
            waiting.add(request);
            startWaiting();
        }

        private void startWaiting() {
            while (running < setup.slots && !waiting.isEmpty()) {
                Running next = waiting.poll();
                running++;
                event(now + next.millis, () -> {
                    running--;
                    startWaiting();
                    ReportedLoad load = new ReportedLoad(running, waiting.size(), setup.slots);
                    event(now + next.oneWayMillis, () -> answered(next, load));
                });
            }
        }

        private void answered(Running request, ReportedLoad load) {
            request.track.recordLoad(load, clock.nanoTime());
            request.track.recordEnd(request.work, request.sentAt);
            result.inTime += now - request.arrivedAt <= LATENCY_TARGET.toMillis() ? 1 : 0;
        }
    }

    private record Running(
            UpstreamTrack track, long sentAt, double arrivedAt, double millis, double work, double oneWayMillis) {}

    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }
}
