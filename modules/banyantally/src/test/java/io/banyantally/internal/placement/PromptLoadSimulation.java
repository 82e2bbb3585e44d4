package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiFunction;

/**
 * Simulates long prompts on prefill engines that compute one after the other and cache sessions up to their cache size.
 * There are several VMs, each with its own placement and its own view of the load and of the rates of engines.
 */
final class PromptLoadSimulation {

    static final Duration LATENCY_TARGET = Duration.ofMillis(120);

    /** The time from the end of the prefill to the first event at the caller: transfer, 72 tokens and the network. */
    private static final double AFTER_PREFILL_MILLIS = 55;

    private static final int SESSIONS = 1135;
    private static final int SHARED_TOKENS = 2520;
    private static final int SESSION_TOKENS = 3780;
    private static final double UNIQUE_TOKENS_MEAN = 2890;
    private static final int MAXIMUM_UNIQUE_TOKENS = 39_600;
    private static final int CACHE_TOKENS = 783_000;
    private static final int VMS = 6;

    /** The prompt tokens that an engine computes in a millisecond unless a test states another rate. */
    static final double USUAL_TOKENS_PER_MILLI = 514;

    /** Predictions of requests that are sent earlier are not checked. */
    private static final double LEARNING_MILLIS = 2000;

    /** How often VMs exchange their work; covers the time that a message takes. */
    static final double EXCHANGE_MILLIS = 20;

    private final Random random;
    private final Duration latencyTarget;
    private final ManualClock clock = new ManualClock();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<ScheduledCompletion> completions =
            new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
    private double now;

    PromptLoadSimulation(long seed, int engineCount, BiFunction<Random, EngineRates, Policy> policies) {
        this(seed, Collections.nCopies(engineCount, USUAL_TOKENS_PER_MILLI), LATENCY_TARGET, policies);
    }

    /** Simulates engines that compute the given numbers of prompt tokens in a millisecond. */
    PromptLoadSimulation(
            long seed,
            List<Double> tokensPerMilli,
            Duration latencyTarget,
            BiFunction<Random, EngineRates, Policy> policies) {
        random = new Random(seed);
        this.latencyTarget = latencyTarget;
        for (int index = 0; index < tokensPerMilli.size(); index++) {
            engines.add(new Engine(
                    Deployments.engine("engine-" + index, "zone-" + index % 3, EngineStage.PREFILL),
                    tokensPerMilli.get(index)));
        }
        for (int index = 0; index < VMS; index++) {
            EngineRates rates = new EngineRates(clock, new MetricRegistry());
            vms.add(new Vm(index, rates, policies.apply(random, rates)));
        }
    }

    /** Changes the rate of an engine during the simulation. */
    void changeRate(double atMillis, int engine, double tokensPerMilli) {
        completions.add(new ScheduledCompletion(atMillis, () -> engines.get(engine).tokensPerMilli = tokensPerMilli));
    }

    /** Returns the prompt tokens that an engine computes in a millisecond. */
    double tokensPerMilli(ReplicaEntry entry) {
        return engineOf(entry).tokensPerMilli;
    }

    private Engine engineOf(ReplicaEntry entry) {
        return engines.stream()
                .filter(candidate -> candidate.entry.equals(entry))
                .findFirst()
                .orElseThrow();
    }

    /** Simulates requests at a rate; returns their results. */
    Result run(double requestsPerSecond, Duration duration) {
        Result result = new Result();
        double end = duration.toMillis();
        double nextRequestAt = 0;
        double nextExchangeAt = 0;
        while (nextRequestAt < end) {
            while (nextExchangeAt <= nextRequestAt) {
                advanceTo(nextExchangeAt);
                exchangeWork();
                nextExchangeAt += EXCHANGE_MILLIS;
            }
            advanceTo(nextRequestAt);
            request(result);
            nextRequestAt += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
        }
        advanceTo(Double.MAX_VALUE);
        return result;
    }

    private void exchangeWork() {
        for (Vm sender : vms) {
            RateReport report = sender.rates.rates(vm -> false);
            vms.stream().filter(vm -> vm != sender).forEach(vm -> vm.rates.receive(sender.id, report));
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
        while (!completions.isEmpty() && completions.peek().at <= time) {
            ScheduledCompletion completion = completions.poll();
            setClock(completion.at);
            completion.action.run();
        }
        if (time < Double.MAX_VALUE) {
            setClock(time);
        }
    }

    private void setClock(double time) {
        clock.advance(Duration.ofNanos((long) ((time - now) * 1_000_000)));
        now = time;
    }

    private void request(Result result) {
        int uniqueTokens = (int)
                Math.min(MAXIMUM_UNIQUE_TOKENS, Math.exp(Math.log(UNIQUE_TOKENS_MEAN) - 0.5 + random.nextGaussian()));
        String session = "session-" + random.nextInt(SESSIONS);
        PromptMetadata prompt = new PromptMetadata(
                SHARED_TOKENS + SESSION_TOKENS + uniqueTokens,
                432,
                List.of(
                        new PromptPart("shared", SHARED_TOKENS),
                        new PromptPart(session, SESSION_TOKENS),
                        new PromptPart("own", uniqueTokens)));
        Vm vm = vms.get(random.nextInt(VMS));
        Placement.Demand demand = new Placement.Demand(Optional.of(prompt), latencyTarget);
        List<ReplicaEntry> entries =
                engines.stream().map(engine -> engine.entry).toList();
        Placement.Decision decision = vm.policy.decide(demand, vm.tracks.candidates(entries));
        boolean isLong = uniqueTokens > UNIQUE_TOKENS_MEAN * 2;
        result.offered(isLong);
        if (decision instanceof Placement.Decision.Send send) {
            send(vm, send, prompt, result, isLong);
        } else {
            result.refused++;
        }
    }

    private void send(Vm vm, Placement.Decision.Send send, PromptMetadata prompt, Result result, boolean isLong) {
        Engine engine = engineOf(send.candidate().entry());
        UpstreamTrack track = vm.tracks.of(engine.entry);
        long sentAt = clock.nanoTime();
        double sentAtMillis = now;
        track.recordSent(send.work(), sentAt);
        double prefillMillis = engine.prefill(
                prompt.parts().get(1).id(), prompt.parts().getLast().tokens());
        double trueWait = Math.max(0, engine.busyUntil - now);
        engine.busyUntil = Math.max(now, engine.busyUntil) + prefillMillis;
        if (now >= LEARNING_MILLIS) {
            result.predicted(send, trueWait, prefillMillis);
        }
        completions.add(new ScheduledCompletion(engine.busyUntil, () -> {
            track.recordEnd(send.work(), sentAt);
            vm.rates.recordPrefill(send, prompt, now - sentAtMillis);
            track.recordWait(now - sentAtMillis - send.work(), clock.nanoTime());
            boolean inTime = now - sentAtMillis + AFTER_PREFILL_MILLIS <= latencyTarget.toMillis();
            result.served(inTime, isLong);
        }));
    }

    /** Decides on the requests of one VM. */
    interface Policy {
        Placement.Decision decide(Placement.Demand demand, List<Candidate> candidates);
    }

    /** The results of the requests. */
    static final class Result {
        /** The mean of fewer prefills depends too much on single cache misses. */
        private static final int MINIMUM_PREDICTIONS = 50;

        private int offered;
        private int offeredLong;
        private int served;
        private int servedLong;
        private int inTime;
        private int refused;
        private final Map<ReplicaEntry, Prediction> work = new LinkedHashMap<>();
        private final Prediction wait = new Prediction();

        private void offered(boolean isLong) {
            offered++;
            offeredLong += isLong ? 1 : 0;
        }

        private void served(boolean timely, boolean isLong) {
            served++;
            servedLong += isLong ? 1 : 0;
            inTime += timely ? 1 : 0;
        }

        private void predicted(Placement.Decision.Send send, double trueWait, double trueWork) {
            work.computeIfAbsent(send.candidate().entry(), absent -> new Prediction())
                    .add(send.work(), trueWork);
            wait.add(send.waitMillis() + send.work(), trueWait + trueWork);
        }

        /** Returns the mean predicted time until a prefill ends, divided by the true one. */
        double predictedWaitRatio() {
            return wait.ratio();
        }

        /** Returns the mean predicted time of prefills divided by the true one, of each engine with enough requests. */
        List<Double> predictedWorkRatios() {
            return work.values().stream()
                    .filter(prediction -> prediction.count >= MINIMUM_PREDICTIONS)
                    .map(Prediction::ratio)
                    .toList();
        }

        double inTimeShare() {
            return inTime / (double) offered;
        }

        double servedShare() {
            return served / (double) offered;
        }

        double servedLongShare() {
            return servedLong / (double) offeredLong;
        }

        int refused() {
            return refused;
        }

        @Override
        public String toString() {
            return "offered " + offered + ", in time " + inTime + ", served " + served + ", refused " + refused
                    + ", long served " + servedLong + " of " + offeredLong
                    + ", predicted waits / true ones " + predictedWaitRatio() + ", predicted prefills by engine "
                    + predictedWorkRatios();
        }
    }

    private final class Vm {
        private final VmId id;
        private final Policy policy;
        private final EngineRates rates;
        private final UpstreamTracks tracks = new UpstreamTracks(clock);

        Vm(int number, EngineRates rates, Policy policy) {
            this.rates = rates;
            this.id = new VmId("vm-" + number);
            this.policy = policy;
        }
    }

    private static final class Prediction {
        private double predicted;
        private double actual;
        private int count;

        private void add(double predictedMillis, double actualMillis) {
            predicted += predictedMillis;
            actual += actualMillis;
            count++;
        }

        private double ratio() {
            return predicted / actual;
        }
    }

    private static final class Engine {
        private final ReplicaEntry entry;
        private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75f, true);
        private double tokensPerMilli;
        private double busyUntil;
        private int cachedTokens;
        private int requests;

        Engine(ReplicaEntry entry, double tokensPerMilli) {
            this.entry = entry;
            this.tokensPerMilli = tokensPerMilli;
        }

        /** Returns the duration of a prefill in milliseconds, and caches the prompt. */
        double prefill(String session, int uniqueTokens) {
            int tokens = uniqueTokens + (cached.get(session) == null ? SESSION_TOKENS : 0);
            cache(session, SESSION_TOKENS);
            cache("own-" + requests++, uniqueTokens);
            return tokens / tokensPerMilli;
        }

        private void cache(String part, int tokens) {
            if (cached.put(part, tokens) == null) {
                cachedTokens += tokens;
            }
            while (cachedTokens > CACHE_TOKENS) {
                String oldest = cached.keySet().iterator().next();
                cachedTokens -= cached.remove(oldest);
            }
        }
    }

    private record ScheduledCompletion(double at, Runnable action) {}
}
