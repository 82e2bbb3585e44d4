package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Simulates the requests to a plain service of many upstreams, sent by several VMs that exchange their work, in virtual
 * time. Requests wait at an upstream in order until a slot is free, or until their callers time out.
 */
final class PlainLoadSimulation {

    static final Duration LATENCY_TARGET = Duration.ofMillis(150);

    private static final Placement.Demand DEMAND = new Placement.Demand(Optional.empty(), LATENCY_TARGET);
    private static final int VMS = 4;
    private static final double EXCHANGE_MILLIS = 20;
    private static final double SHORTEST_MILLIS = 20;
    private static final double LONGEST_MILLIS = 80;
    private static final double CALLER_TIMEOUT_MILLIS = 1000;
    private static final double FAILURE_MILLIS = 1;
    private static final double NANOS_PER_MILLI = 1e6;

    private final ManualClock clock = new ManualClock();
    private final List<Upstream> upstreams = new ArrayList<>();
    private final List<ReplicaEntry> entries = new ArrayList<>();
    private final Map<UpstreamId, Upstream> byId = new HashMap<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Result result = new Result();
    private final Choice choice;
    private long sequence;
    private double now;

    /** Creates the upstreams and VMs; {@code choice} is how the VMs choose an upstream. */
    PlainLoadSimulation(List<Kind> kinds, long seed, Choice choice) {
        this.choice = choice;
        for (Kind kind : kinds) {
            Upstream upstream = new Upstream(kind, entry(upstreams.size(), kind.slots()));
            upstreams.add(upstream);
            entries.add(upstream.entry);
            byId.put(upstream.entry.id(), upstream);
        }
        for (int number = 0; number < VMS; number++) {
            vms.add(new Vm(new VmId("vm-" + number), seed * VMS + number));
        }
    }

    /** Plays requests at a part of what all slots could serve; the same seed gives the same requests. */
    Result run(long seed, double utilization, Duration duration) {
        Random trace = new Random(seed);
        double slots =
                upstreams.stream().mapToInt(upstream -> upstream.kind.slots()).sum();
        double perMilli = utilization * slots / ((SHORTEST_MILLIS + LONGEST_MILLIS) / 2);
        double nextExchangeAt = 0;
        for (double at = 0; at < duration.toMillis(); at += -Math.log(1 - trace.nextDouble()) / perMilli) {
            for (; nextExchangeAt <= at; nextExchangeAt += EXCHANGE_MILLIS) {
                advanceTo(nextExchangeAt);
                exchangeWork();
            }
            advanceTo(at);
            double millis = SHORTEST_MILLIS + trace.nextDouble() * (LONGEST_MILLIS - SHORTEST_MILLIS);
            request(vms.get(trace.nextInt(VMS)), millis);
        }
        while (!events.isEmpty()) {
            advanceTo(events.peek().at);
        }
        return result;
    }

    private void exchangeWork() {
        for (Vm sender : vms) {
            for (UpstreamTrack track : sender.tracks.all()) {
                UpstreamTrack.Work own = track.ownWork();
                for (Vm receiver : vms) {
                    if (receiver != sender) {
                        receiver.tracks
                                .of(track.entry())
                                .setPeerWork(sender.id, own.requests(), own.millis(), clock.nanoTime());
                    }
                }
            }
        }
    }

    private void advanceTo(double time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            Event event = events.poll();
            setClock(event.at);
            event.action.run();
        }
        setClock(time);
    }

    private void setClock(double time) {
        clock.advance(Duration.ofNanos((long) (Math.max(0, time - now) * NANOS_PER_MILLI)));
        now = Math.max(now, time);
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, sequence++, action));
    }

    private void request(Vm vm, double millis) {
        result.offered++;
        if (!(choice.choose(vm, entries) instanceof Placement.Decision.Send send)) {
            result.refused++;
            return;
        }
        Upstream upstream = byId.get(send.candidate().entry().id());
        Running request = new Running(vm, vm.tracks.of(upstream.entry), clock.nanoTime(), now, millis, send.work());
        request.track.recordSent(request.work, request.sentAt);
        switch (upstream.kind.state()) {
            case FAILING -> after(FAILURE_MILLIS, () -> end(request, Optional.of("no_answer")));
            case HANGING -> after(CALLER_TIMEOUT_MILLIS, () -> end(request, Optional.of("no_answer")));
            case SERVING, LEAVING -> {
                upstream.waiting.add(request);
                upstream.startWaiting();
                result.worstQueue = Math.max(result.worstQueue, upstream.waiting.size());
                result.sentToLeaving += upstream.toldLeaving.contains(vm) ? 1 : 0;
            }
        }
    }

    private void end(Running request, Optional<String> failure) {
        request.track.recordEnd(request.work, request.sentAt);
        if (failure.isPresent()) {
            request.vm.tracks.failed(request.track, entries, failure.get());
            return;
        }
        request.vm.tracks.succeeded(request.track);
        result.inTime += now - request.arrivedAt <= LATENCY_TARGET.toMillis() ? 1 : 0;
    }

    private static ReplicaEntry entry(int number, int slots) {
        return new ReplicaEntry(
                new UpstreamId("u" + number),
                new ServiceName("plain"),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                new AvailabilityZone("zone-a"),
                slots,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    /** How VMs choose upstreams. */
    @FunctionalInterface
    interface Choice {
        Placement.Decision choose(Vm vm, List<ReplicaEntry> upstreams);
    }

    /** What an upstream does with requests. */
    enum State {
        SERVING,
        LEAVING,
        FAILING,
        HANGING
    }

    /**
     * A kind of upstream.
     *
     * @param slowness how many times longer than usual its requests take
     */
    record Kind(int slots, double slowness, State state) {}

    /** What callers got. */
    static final class Result {
        int offered;
        int inTime;
        int refused;
        int worstQueue;
        int sentToLeaving;

        @Override
        public String toString() {
            return "offered " + offered + ", in time " + inTime + ", refused " + refused + ", worst queue " + worstQueue
                    + ", sent to leaving " + sentToLeaving;
        }
    }

    /** One VM, with what it knows of the upstreams. */
    final class Vm {
        private final VmId id;
        private final LeastLoadedPlacement placement;
        private final UpstreamTracks tracks = new UpstreamTracks(clock);
        private final UpstreamNotices notices;
        private final UpstreamLimits limits;

        Vm(VmId id, long seed) {
            this.id = id;
            RandomGenerator random = new SplittableRandom(seed);
            placement = new LeastLoadedPlacement(() -> random);
            notices = new UpstreamNotices(clock, new SplittableRandom(seed), new MetricRegistry());
            limits = new UpstreamLimits(
                    () -> new LimitSharers(VMS, VMS, Duration.ZERO), clock, new Random(seed), new MetricRegistry());
            entries.forEach(tracks::of);
        }

        /** Chooses as the gateway does. */
        Placement.Decision choose(List<ReplicaEntry> upstreams) {
            return new PlainPlacement(notices, limits, tracks, placement, clock)
                    .take(DEMAND, upstreams, upstream -> true);
        }

        /** Chooses the least loaded of all. */
        Placement.Decision chooseAmongAll(List<ReplicaEntry> upstreams) {
            return placement.decide(DEMAND, tracks.candidates(notices.accepting(upstreams)));
        }
    }

    private final class Upstream {
        private final Kind kind;
        private final ReplicaEntry entry;
        private final Deque<Running> waiting = new ArrayDeque<>();
        private final List<Vm> toldLeaving = new ArrayList<>();
        private int running;

        Upstream(Kind kind, ReplicaEntry entry) {
            this.kind = kind;
            this.entry = entry;
        }

        void startWaiting() {
            while (running < kind.slots() && !waiting.isEmpty()) {
                Running next = waiting.poll();
                running++;
                after(next.millis * kind.slowness(), () -> {
                    running--;
                    answer(next);
                    startWaiting();
                });
            }
        }

        private void answer(Running request) {
            boolean leaving = kind.state() == State.LEAVING;
            request.track.recordLoad(new ReportedLoad(running, waiting.size(), kind.slots()), clock.nanoTime());
            request.vm.notices.record(
                    entry,
                    new ResponseMetadata(
                            false,
                            false,
                            true,
                            Optional.of("a"),
                            Optional.empty(),
                            leaving,
                            Optional.empty(),
                            OptionalDouble.empty()),
                    "a");
            if (leaving) {
                toldLeaving.add(request.vm);
            }
            end(request, Optional.empty());
        }
    }

    private record Running(Vm vm, UpstreamTrack track, long sentAt, double arrivedAt, double millis, double work) {}

    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }
}
