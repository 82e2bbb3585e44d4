package io.banyantally.internal.exchange;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.AccountRateLimit;
import io.banyantally.deployment.AccountRule;
import io.banyantally.internal.placement.AccountLimitRule;
import io.banyantally.internal.placement.AccountLimits;
import io.banyantally.internal.placement.AccountUse;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * VMs with callers of one account that has a rate limit, in virtual time. VMs exchange their use as late as
 * {@link WorkExchange} delivers it.
 */
final class AccountLimitSimulation {

    static final AccountLimitRule RULE = new AccountLimitRule(Duration.ofSeconds(8), 0.1, 120_000);

    private static final Duration STEP = Duration.ofMillis(5);

    /** Requests arrive at upstreams up to this much later than they are admitted. */
    private static final int ARRIVAL_MILLIS = 150;

    final ManualClock clock = new ManualClock();
    final Random random;
    final List<Vm> vms = new ArrayList<>();
    final Set<VmId> cutFromPeers = new HashSet<>();
    final List<Sent> arrivals = new ArrayList<>();
    final int smallestRequest;
    final int largestRequest;
    private final List<VmId> listed = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Duration exchangeInterval;
    private final Duration exchangeDelay;
    private AccountRateLimit limit;
    private long sequence;
    private long nextExchangeAt;
    double asked;
    double refused;

    AccountLimitSimulation(int vmCount, AccountRateLimit limit, int smallestRequest, int largestRequest, long seed) {
        this.limit = limit;
        this.smallestRequest = smallestRequest;
        this.largestRequest = largestRequest;
        random = new Random(seed);
        boolean delegates = vmCount >= ZoneDelegates.MINIMUM_VMS;
        exchangeInterval = Duration.ofMillis(delegates ? 100 : 20);
        exchangeDelay = Duration.ofMillis(delegates ? 200 : 10);
        for (int number = 0; number < vmCount; number++) {
            start("vm-" + number);
        }
        run(LimitFleet.START_TIME.plusSeconds(1), 0, vm -> 0);
    }

    Vm start(String name) {
        Vm vm = new Vm(new VmId(name));
        vms.add(vm);
        listed.add(vm.id);
        return vm;
    }

    /** Kills a VM; its entry in the store lapses 3 s later. */
    void kill(Vm vm) {
        vms.remove(vm);
        after(Duration.ofSeconds(3), () -> listed.remove(vm.id));
    }

    void setLimit(AccountRateLimit changed) {
        limit = changed;
    }

    /** Plays callers that ask for {@code unitsPerSecond}, divided among the VMs in proportion to {@code weightOf}. */
    void run(Duration time, double unitsPerSecond, ToDoubleFunction<Vm> weightOf) {
        long end = clock.nanoTime() + time.toNanos();
        double meanRequest = (smallestRequest + largestRequest) / 2.0;
        while (clock.nanoTime() < end) {
            clock.advance(STEP);
            if (clock.nanoTime() >= nextExchangeAt) {
                nextExchangeAt = clock.nanoTime() + exchangeInterval.toNanos();
                List.copyOf(vms).forEach(this::exchange);
            }
            while (!events.isEmpty() && events.peek().at <= clock.nanoTime()) {
                events.poll().action.run();
            }
            double weights = vms.stream().mapToDouble(weightOf).sum();
            if (weights > 0) {
                for (Vm vm : List.copyOf(vms)) {
                    double expected =
                            unitsPerSecond / meanRequest * weightOf.applyAsDouble(vm) / weights * STEP.toNanos() / 1e9;
                    while (random.nextDouble() < expected) {
                        request(vm);
                        expected--;
                    }
                }
            }
        }
    }

    private void exchange(Vm sender) {
        if (cutFromPeers.contains(sender.id)) {
            return;
        }
        List<AccountUse> uses = sender.limits.uses(vm -> false);
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
        int units = smallestRequest + random.nextInt(largestRequest - smallestRequest + 1);
        AccountRule account =
                new AccountRule(new ClientAccountId("account"), Set.of("key"), OptionalInt.empty(), Optional.of(limit));
        asked += units;
        if (vm.limits.tryTake(account, units) instanceof AccountLimits.Exceeded) {
            refused += units;
        } else {
            after(
                    Duration.ofMillis(random.nextInt(ARRIVAL_MILLIS)),
                    () -> arrivals.add(new Sent(clock.nanoTime(), units)));
        }
    }

    private void after(Duration delay, Runnable action) {
        events.add(new Event(clock.nanoTime() + delay.toNanos(), sequence++, action));
    }

    /** Returns the most units that arrived in a window of the rule that ends after a time. */
    double mostInWindow(long from) {
        double most = 0;
        double sum = 0;
        int first = 0;
        for (Sent last : arrivals) {
            sum += last.units;
            while (last.at - arrivals.get(first).at > RULE.window().toNanos()) {
                sum -= arrivals.get(first).units;
                first++;
            }
            if (last.at >= from) {
                most = Math.max(most, sum);
            }
        }
        return most;
    }

    /** Returns the units that arrived since a time. */
    double arrived(long from) {
        return arrivals.stream()
                .filter(sent -> sent.at >= from)
                .mapToDouble(sent -> sent.units)
                .sum();
    }

    final class Vm {
        final VmId id;
        final LimitFleet fleet = new LimitFleet(() -> listed, clock);
        final AccountLimits limits = new AccountLimits(RULE, fleet::sharers, clock, random, new MetricRegistry());

        Vm(VmId id) {
            this.id = id;
        }
    }

    record Sent(long at, int units) {}

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }
}
