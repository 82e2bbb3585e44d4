package io.banyantally.internal.exchange;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ResponseMetadata;
import io.banyantally.internal.placement.LimitUse;
import io.banyantally.internal.placement.UpstreamLimits;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * VMs that send the requests of their callers to upstreams with a limit, in virtual time. They exchange what they have
 * sent as late as {@link WorkExchange} delivers it.
 */
final class LimitSimulation {

    static final Duration STEP = Duration.ofMillis(5);

    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    private static final Duration ANSWER_TIME = Duration.ofMillis(20);
    private static final Duration WINDOW = Duration.ofSeconds(4);

    /** Sends count from this long after the VM has passed on an answer with a limit. */
    private static final Duration TOLD_TIME = Duration.ofMillis(500);

    final ManualClock clock = new ManualClock();
    final Random random;
    final List<Vm> vms = new ArrayList<>();
    final List<VmId> listed = new ArrayList<>();
    final Set<VmId> cutFromPeers = new HashSet<>();
    private final Map<ReplicaEntry, OptionalDouble> limits =
            new TreeMap<>((one, other) -> one.id().value().compareTo(other.id().value()));
    private final Map<String, List<Long>> arrivals = new TreeMap<>();
    private final Map<String, List<Long>> countedArrivals = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Duration exchangeInterval;
    private final Duration exchangeDelay;
    private long sequence;
    private long nextExchangeAt;
    int refused;

    LimitSimulation(int vmCount, int upstreams, long seed) {
        random = new Random(seed);
        boolean delegates = vmCount >= ZoneDelegates.MINIMUM_VMS;
        exchangeInterval = Duration.ofMillis(delegates ? 100 : 20);
        exchangeDelay = Duration.ofMillis(delegates ? 150 : 10);
        for (int number = 0; number < upstreams; number++) {
            ReplicaEntry upstream = Deployments.plain("u" + number, ADDRESS);
            limits.put(upstream, OptionalDouble.empty());
            arrivals.put(upstream.id().value(), new ArrayList<>());
            countedArrivals.put(upstream.id().value(), new ArrayList<>());
        }
        for (int number = 0; number < vmCount; number++) {
            start("vm-" + number);
        }
    }

    Vm start(String name) {
        Vm vm = new Vm(new VmId(name));
        vms.add(vm);
        listed.add(vm.id);
        return vm;
    }

    void stop(Vm vm) {
        vms.remove(vm);
        listed.remove(vm.id);
    }

    void setLimits(OptionalDouble limit) {
        limits.replaceAll((upstream, former) -> limit);
    }

    /** Plays callers whose requests come at {@code requestsPerSecond} at each VM. */
    void run(Duration time, ToDoubleFunction<Vm> requestsPerSecond) {
        long end = clock.nanoTime() + time.toNanos();
        while (clock.nanoTime() < end) {
            clock.advance(STEP);
            if (clock.nanoTime() >= nextExchangeAt) {
                nextExchangeAt = clock.nanoTime() + exchangeInterval.toNanos();
                List.copyOf(vms).forEach(this::exchange);
            }
            while (!events.isEmpty() && events.peek().at <= clock.nanoTime()) {
                events.poll().action.run();
            }
            for (Vm vm : List.copyOf(vms)) {
                double expected = requestsPerSecond.applyAsDouble(vm) * STEP.toNanos() / 1e9;
                while (random.nextDouble() < expected) {
                    request(vm);
                    expected--;
                }
            }
        }
    }

    private void exchange(Vm sender) {
        if (cutFromPeers.contains(sender.id)) {
            return;
        }
        List<LimitUse> uses = sender.limits.uses(vm -> false);
        after(
                exchangeDelay,
                () -> vms.stream()
                        .filter(vm -> vm != sender && !cutFromPeers.contains(vm.id))
                        .forEach(vm -> {
                            vm.fleet.recordHeard(sender.id, 1);
                            vm.limits.receive(sender.id, uses);
                        }));
    }

    private void request(Vm vm) {
        List<ReplicaEntry> open = new ArrayList<>(vm.limits.accepting(List.copyOf(limits.keySet())));
        Collections.shuffle(open, random);
        for (ReplicaEntry upstream : open) {
            if (vm.limits.tryTake(upstream)) {
                send(vm, upstream);
                return;
            }
        }
        refused++;
    }

    private void send(Vm vm, ReplicaEntry upstream) {
        long sentAt = clock.nanoTime();
        arrivals.get(upstream.id().value()).add(sentAt);
        Long toldAt = vm.toldAt.get(upstream.id().value());
        if (toldAt != null && sentAt - toldAt >= TOLD_TIME.toNanos()) {
            countedArrivals.get(upstream.id().value()).add(sentAt);
        }
        after(ANSWER_TIME, () -> answer(vm, upstream, sentAt));
    }

    private void answer(Vm vm, ReplicaEntry upstream, long sentAt) {
        OptionalDouble limit = limits.get(upstream);
        if (limit.isPresent()) {
            vm.toldAt.putIfAbsent(upstream.id().value(), clock.nanoTime());
        }
        vm.limits.record(
                upstream,
                new ResponseMetadata(
                        false, false, true, Optional.of("a"), Optional.empty(), false, Optional.empty(), limit),
                "a",
                sentAt);
    }

    private void after(Duration delay, Runnable action) {
        events.add(new Event(clock.nanoTime() + delay.toNanos(), sequence++, action));
    }

    /** Returns the most requests that one upstream got in 4 s that end after a time, from VMs that it had told. */
    int mostInWindow(long from) {
        int most = 0;
        for (List<Long> times : countedArrivals.values()) {
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) > WINDOW.toNanos()) {
                    first++;
                }
                if (times.get(last) >= from) {
                    most = Math.max(most, last - first + 1);
                }
            }
        }
        return most;
    }

    /** Returns the requests a second that upstreams got since a time, as a mean over them. */
    double meanRate(long from) {
        long count = arrivals.values().stream()
                .flatMap(List::stream)
                .filter(time -> time >= from)
                .count();
        return count / ((clock.nanoTime() - from) / 1e9) / arrivals.size();
    }

    final class Vm {
        final VmId id;
        final Map<String, Long> toldAt = new TreeMap<>();
        final LimitFleet fleet = new LimitFleet(() -> listed, clock);
        final UpstreamLimits limits = new UpstreamLimits(fleet::sharers, clock, random, new MetricRegistry());

        Vm(VmId id) {
            this.id = id;
        }
    }

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }
}
