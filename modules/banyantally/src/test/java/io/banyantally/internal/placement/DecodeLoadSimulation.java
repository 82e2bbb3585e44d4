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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;

/**
 * Simulates the load of a few decoding engines: long prompts whose answers occupy a slot for 90 ms, and short prompts
 * whose answers occupy one for 4 s. Requests wait at an engine in order until a slot is free, or until their callers
 * time out.
 */
final class DecodeLoadSimulation {

    static final Duration LATENCY_TARGET = Duration.ofMillis(120);

    /** How long a caller waits for the first event of its answer. */
    static final double CALLER_TIMEOUT_MILLIS = 2000;

    private static final double SHORT_ANSWER_MILLIS = 90;
    private static final double LONG_ANSWER_MILLIS = 4000;
    private static final int LONG_PROMPT_TOKENS = 9200;
    private static final int SHORT_PROMPT_TOKENS = 220;
    private static final int VMS = 6;

    private final Random random;
    private final ManualClock clock = new ManualClock();
    private final List<Engine> engines = new ArrayList<>();
    private final ReplicaEntry prefill = Deployments.engine("prefill", "zone-0", EngineStage.PREFILL);
    private final List<UpstreamTracks> tracksByVm = new ArrayList<>();
    private final List<EnginePlacement> placements = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> events =
            new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
    private final Function<Placement.Demand, Placement.Demand> demandChange;
    private double now;

    DecodeLoadSimulation(long seed, int engineCount, Function<Placement.Demand, Placement.Demand> demandChange) {
        random = new Random(seed);
        this.demandChange = demandChange;
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(Deployments.engine("engine-" + index, "zone-0", EngineStage.DECODE)));
        }
        for (int index = 0; index < VMS; index++) {
            tracksByVm.add(new UpstreamTracks(clock));
            placements.add(new EnginePlacement(random, new EngineRates(clock, new MetricRegistry())));
        }
    }

    /** Simulates requests at the given rates a second; returns their results. */
    Result run(double longPromptsPerSecond, double shortPromptsPerSecond, Duration duration) {
        Result result = new Result();
        double rate = longPromptsPerSecond + shortPromptsPerSecond;
        double nextRequestAt = 0;
        double nextExchangeAt = 0;
        while (nextRequestAt < duration.toMillis()) {
            while (nextExchangeAt <= nextRequestAt) {
                advanceTo(nextExchangeAt);
                exchangeWork();
                nextExchangeAt += PromptLoadSimulation.EXCHANGE_MILLIS;
            }
            advanceTo(nextRequestAt);
            request(random.nextDouble() * rate < longPromptsPerSecond, result);
            nextRequestAt += -Math.log(1 - random.nextDouble()) * 1000 / rate;
        }
        while (!events.isEmpty()) {
            advanceTo(events.peek().at);
        }
        return result;
    }

    private void exchangeWork() {
        for (int sender = 0; sender < VMS; sender++) {
            for (UpstreamTrack track : tracksByVm.get(sender).all()) {
                UpstreamTrack.Work own = track.ownWork();
                for (int receiver = 0; receiver < VMS; receiver++) {
                    if (receiver != sender) {
                        tracksByVm
                                .get(receiver)
                                .of(track.entry())
                                .setPeerWork(new VmId("vm-" + sender), own.requests(), own.millis(), clock.nanoTime());
                    }
                }
            }
        }
    }

    private void advanceTo(double time) {
        while (!events.isEmpty() && events.peek().at <= time) {
            ScheduledEvent event = events.poll();
            setClock(event.at);
            event.action.run();
        }
        setClock(time);
    }

    private void setClock(double time) {
        clock.advance(Duration.ofNanos((long) (Math.max(0, time - now) * 1_000_000)));
        now = Math.max(now, time);
    }

    private void request(boolean longPrompt, Result result) {
        result.offered++;
        int vm = random.nextInt(VMS);
        int tokens = longPrompt ? LONG_PROMPT_TOKENS : SHORT_PROMPT_TOKENS;
        PromptMetadata prompt = new PromptMetadata(tokens, 432, List.of(new PromptPart("own", tokens)));
        Placement.Demand demand = demandChange.apply(new Placement.Demand(Optional.of(prompt), LATENCY_TARGET));
        List<ReplicaEntry> entries = new ArrayList<>(List.of(prefill));
        engines.forEach(engine -> entries.add(engine.entry));
        List<Candidate> candidates = tracksByVm.get(vm).candidates(entries);
        if (longPrompt && placements.get(vm).decidePrefill(demand, candidates) instanceof Placement.Decision.Refuse) {
            result.refused++;
            return;
        }
        Placement.Decision decision = placements.get(vm).decideDecode(demand, candidates, Optional.empty());
        if (decision instanceof Placement.Decision.Send send) {
            Engine engine = engines.stream()
                    .filter(candidate -> candidate.entry.equals(send.candidate().entry()))
                    .findFirst()
                    .orElseThrow();
            UpstreamTrack track = tracksByVm.get(vm).of(engine.entry);
            long sentAt = clock.nanoTime();
            track.recordSent(0, sentAt);
            WaitingRequest waitingRequest = new WaitingRequest(
                    track, sentAt, now, longPrompt ? SHORT_ANSWER_MILLIS : LONG_ANSWER_MILLIS, result);
            engine.waiting.add(waitingRequest);
            events.add(new ScheduledEvent(now + CALLER_TIMEOUT_MILLIS, () -> timeOut(engine, waitingRequest)));
            startWaitingRequests(engine);
        } else {
            result.refused++;
        }
    }

    private static void timeOut(Engine engine, WaitingRequest waitingRequest) {
        if (engine.waiting.remove(waitingRequest)) {
            waitingRequest.result.timedOut++;
            waitingRequest.track.recordEnd(0, waitingRequest.sentAt);
        }
    }

    private void startWaitingRequests(Engine engine) {
        while (engine.running < engine.entry.slots() && !engine.waiting.isEmpty()) {
            WaitingRequest next = engine.waiting.poll();
            engine.running++;
            next.track.recordAnswerBegun(next.sentAt);
            boolean inTime = now - next.arrivedAt <= LATENCY_TARGET.toMillis();
            next.result.inTime += inTime ? 1 : 0;
            next.result.late += inTime ? 0 : 1;
            events.add(new ScheduledEvent(now + next.answerMillis, () -> {
                engine.running--;
                next.track.recordSlotTime(next.answerMillis);
                next.track.recordEnd(0, next.sentAt);
                startWaitingRequests(engine);
            }));
        }
    }

    /** The results of the requests. */
    static final class Result {
        private int offered;
        private int inTime;
        private int late;
        private int refused;
        private int timedOut;

        int inTime() {
            return inTime;
        }

        int timedOut() {
            return timedOut;
        }

        double inTimeShare() {
            return inTime / (double) offered;
        }

        double timedOutShare() {
            return timedOut / (double) offered;
        }

        int refused() {
            return refused;
        }

        @Override
        public String toString() {
            return "offered " + offered + ", in time " + inTime + ", late " + late + ", refused " + refused
                    + ", timed out " + timedOut;
        }
    }

    private static final class Engine {
        private final ReplicaEntry entry;
        private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
        private int running;

        Engine(ReplicaEntry entry) {
            this.entry = entry;
        }
    }

    private record WaitingRequest(
            UpstreamTrack track, long sentAt, double arrivedAt, double answerMillis, Result result) {}

    private record ScheduledEvent(double at, Runnable action) {}
}
