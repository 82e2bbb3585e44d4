package io.banyantally.internal.placement;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;

/**
 * Plays long prompts against prefill engines that read one after the other and cache sessions up to their memory. Several
 * VMs decide, each with its own placement and its own view.
 */
final class PromptLoad {

    static final Duration TARGET = Duration.ofMillis(120);

    /** From the read prompt to the first event at the caller: transfer, 72 tokens and the network. */
    private static final double AFTER_READING_MILLIS = 55;

    private static final int SESSIONS = 1135;
    private static final int SHARED_TOKENS = 2520;
    private static final int SESSION_TOKENS = 3780;
    private static final double OWN_TOKENS_MEAN = 2890;
    private static final int LARGEST_OWN_TOKENS = 39_600;
    private static final int CACHE_TOKENS = 783_000;
    private static final int VMS = 6;

    /** How often VMs tell each other their work, and how long a message takes. */
    static final double EXCHANGE_MILLIS = 20;

    private final Random random;
    private final ManualClock clock = new ManualClock();
    private final List<Engine> engines = new ArrayList<>();
    private final List<Vm> vms = new ArrayList<>();
    private final PriorityQueue<Finish> finishes =
            new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
    private double now;

    PromptLoad(long seed, int engineCount, Function<Random, Policy> policies) {
        random = new Random(seed);
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(Deployments.engine("engine-" + index, "zone-" + index % 3, EngineStage.PREFILL)));
        }
        for (int index = 0; index < VMS; index++) {
            vms.add(new Vm(index, policies.apply(random)));
        }
    }

    /** Plays requests at a rate; returns what callers got. */
    Result play(double requestsPerSecond, Duration length) {
        Result result = new Result();
        double end = length.toMillis();
        double next = 0;
        double exchange = 0;
        while (next < end) {
            while (exchange <= next) {
                advanceTo(exchange);
                exchangeWork();
                exchange += EXCHANGE_MILLIS;
            }
            advanceTo(next);
            request(result);
            next += -Math.log(1 - random.nextDouble()) * 1000 / requestsPerSecond;
        }
        advanceTo(Double.MAX_VALUE);
        return result;
    }

    private void exchangeWork() {
        for (Vm speaker : vms) {
            for (UpstreamTrack track : speaker.tracks.all()) {
                UpstreamTrack.OwnWork own = track.ownWork();
                for (Vm listener : vms) {
                    if (listener != speaker) {
                        listener.tracks
                                .of(track.entry())
                                .peerHas(speaker.id, own.requests(), own.millis(), clock.nanoTime());
                    }
                }
            }
        }
    }

    private void advanceTo(double time) {
        while (!finishes.isEmpty() && finishes.peek().at <= time) {
            Finish finish = finishes.poll();
            setClock(finish.at);
            finish.run.run();
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
        int own = (int) Math.min(LARGEST_OWN_TOKENS, Math.exp(Math.log(OWN_TOKENS_MEAN) - 0.5 + random.nextGaussian()));
        String session = "session-" + random.nextInt(SESSIONS);
        PromptMetadata prompt = new PromptMetadata(
                SHARED_TOKENS + SESSION_TOKENS + own,
                432,
                List.of(
                        new PromptPart("shared", SHARED_TOKENS),
                        new PromptPart(session, SESSION_TOKENS),
                        new PromptPart("own", own)));
        Vm vm = vms.get(random.nextInt(VMS));
        Placement.Demand demand = new Placement.Demand(Optional.of(prompt), TARGET);
        List<ReplicaEntry> entries =
                engines.stream().map(engine -> engine.entry).toList();
        Placement.Decision decision = vm.policy.decide(demand, vm.tracks.candidates(entries));
        boolean large = own > OWN_TOKENS_MEAN * 2;
        result.offered(large);
        if (decision instanceof Placement.Decision.Send send) {
            send(vm, send, session, own, result, large);
        } else {
            result.refused++;
        }
    }

    private void send(Vm vm, Placement.Decision.Send send, String session, int own, Result result, boolean large) {
        Engine engine = engines.stream()
                .filter(candidate -> candidate.entry.equals(send.candidate().entry()))
                .findFirst()
                .orElseThrow();
        UpstreamTrack track = vm.tracks.of(engine.entry);
        long sentAt = clock.nanoTime();
        double began = now;
        track.recordSent(send.work(), sentAt);
        double reading = engine.read(session, own);
        engine.busyUntil = Math.max(now, engine.busyUntil) + reading;
        finishes.add(new Finish(engine.busyUntil, () -> {
            track.recordEnd(send.work(), sentAt);
            track.recordWait(now - began - send.work(), clock.nanoTime());
            boolean inTime = now - began + AFTER_READING_MILLIS <= TARGET.toMillis();
            result.served(inTime, large);
        }));
    }

    /** Decides for one VM. */
    interface Policy {
        Placement.Decision decide(Placement.Demand demand, List<Candidate> candidates);
    }

    /** What callers got. */
    static final class Result {
        private int offered;
        private int offeredLarge;
        private int served;
        private int servedLarge;
        private int inTime;
        private int refused;

        private void offered(boolean large) {
            offered++;
            offeredLarge += large ? 1 : 0;
        }

        private void served(boolean timely, boolean large) {
            served++;
            servedLarge += large ? 1 : 0;
            inTime += timely ? 1 : 0;
        }

        double inTimeShare() {
            return inTime / (double) offered;
        }

        double servedShare() {
            return served / (double) offered;
        }

        double servedLargeShare() {
            return servedLarge / (double) offeredLarge;
        }

        int refused() {
            return refused;
        }

        @Override
        public String toString() {
            return "offered " + offered + ", in time " + inTime + ", served " + served + ", refused " + refused
                    + ", large served " + servedLarge + " of " + offeredLarge;
        }
    }

    private final class Vm {
        private final VmId id;
        private final Policy policy;
        private final UpstreamTracks tracks = new UpstreamTracks(clock);

        Vm(int number, Policy policy) {
            this.id = new VmId("vm-" + number);
            this.policy = policy;
        }
    }

    private static final class Engine {
        private final ReplicaEntry entry;
        private final Map<String, Integer> cached = new LinkedHashMap<>(16, 0.75f, true);
        private double busyUntil;
        private int cachedTokens;
        private int requests;

        Engine(ReplicaEntry entry) {
            this.entry = entry;
        }

        /** Returns how long the engine reads, in milliseconds, and caches what it has read. */
        double read(String session, int own) {
            int tokens = own + (cached.get(session) == null ? SESSION_TOKENS : 0);
            keep(session, SESSION_TOKENS);
            keep("own-" + requests++, own);
            return tokens / EnginePlacement.PREFILL_TOKENS_PER_MILLI;
        }

        private void keep(String part, int tokens) {
            if (cached.put(part, tokens) == null) {
                cachedTokens += tokens;
            }
            while (cachedTokens > CACHE_TOKENS) {
                String oldest = cached.keySet().iterator().next();
                cachedTokens -= cached.remove(oldest);
            }
        }
    }

    private record Finish(double at, Runnable run) {}
}
