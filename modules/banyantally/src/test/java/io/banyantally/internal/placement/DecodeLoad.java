package io.banyantally.internal.placement;

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
 * Plays answers on few decoding engines: long prompts whose answers keep a slot for a tenth of a second, and short prompts
 * whose answers keep one for four seconds. Requests wait at an engine in order until a slot is free, or until their callers
 * give up.
 */
final class DecodeLoad {

    static final Duration TARGET = Duration.ofMillis(120);

    /** How long a caller waits for the first event. */
    static final double PATIENCE_MILLIS = 2000;

    private static final double SHORT_ANSWER_MILLIS = 90;
    private static final double LONG_ANSWER_MILLIS = 4000;
    private static final int LONG_PROMPT_TOKENS = 9200;
    private static final int SHORT_PROMPT_TOKENS = 220;
    private static final int VMS = 6;

    private final Random random;
    private final ManualClock clock = new ManualClock();
    private final List<Engine> engines = new ArrayList<>();
    private final ReplicaEntry prefill = Deployments.engine("prefill", "zone-0", EngineStage.PREFILL);
    private final List<UpstreamTracks> vms = new ArrayList<>();
    private final List<EnginePlacement> placements = new ArrayList<>();
    private final PriorityQueue<Step> steps = new PriorityQueue<>((left, right) -> Double.compare(left.at, right.at));
    private final Function<Placement.Demand, Placement.Demand> change;
    private double now;

    DecodeLoad(long seed, int engineCount, Function<Placement.Demand, Placement.Demand> change) {
        random = new Random(seed);
        this.change = change;
        for (int index = 0; index < engineCount; index++) {
            engines.add(new Engine(Deployments.engine("engine-" + index, "zone-0", EngineStage.DECODE)));
        }
        for (int index = 0; index < VMS; index++) {
            vms.add(new UpstreamTracks(clock));
            placements.add(new EnginePlacement(random));
        }
    }

    /** Plays requests at rates a second; returns what callers got. */
    Result play(double longPrompts, double shortPrompts, Duration length) {
        Result result = new Result();
        double rate = longPrompts + shortPrompts;
        double next = 0;
        double exchange = 0;
        while (next < length.toMillis()) {
            while (exchange <= next) {
                advanceTo(exchange);
                exchangeWork();
                exchange += PromptLoad.EXCHANGE_MILLIS;
            }
            advanceTo(next);
            request(random.nextDouble() * rate < longPrompts, result);
            next += -Math.log(1 - random.nextDouble()) * 1000 / rate;
        }
        while (!steps.isEmpty()) {
            advanceTo(steps.peek().at);
        }
        return result;
    }

    private void exchangeWork() {
        for (int speaker = 0; speaker < VMS; speaker++) {
            for (UpstreamTrack track : vms.get(speaker).all()) {
                UpstreamTrack.OwnWork own = track.ownWork();
                for (int listener = 0; listener < VMS; listener++) {
                    if (listener != speaker) {
                        vms.get(listener)
                                .of(track.entry())
                                .peerHas(new VmId("vm-" + speaker), own.requests(), own.millis(), clock.nanoTime());
                    }
                }
            }
        }
    }

    private void advanceTo(double time) {
        while (!steps.isEmpty() && steps.peek().at <= time) {
            Step step = steps.poll();
            setClock(step.at);
            step.run.run();
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
        Placement.Demand demand = change.apply(new Placement.Demand(Optional.of(prompt), TARGET));
        List<ReplicaEntry> entries = new ArrayList<>(List.of(prefill));
        engines.forEach(engine -> entries.add(engine.entry));
        List<Candidate> candidates = vms.get(vm).candidates(entries);
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
            UpstreamTrack track = vms.get(vm).of(engine.entry);
            long sentAt = clock.nanoTime();
            track.recordSent(0, sentAt);
            Waiting waiting =
                    new Waiting(track, sentAt, now, longPrompt ? SHORT_ANSWER_MILLIS : LONG_ANSWER_MILLIS, result);
            engine.waiting.add(waiting);
            steps.add(new Step(now + PATIENCE_MILLIS, () -> giveUp(engine, waiting)));
            startWaiting(engine);
        } else {
            result.refused++;
        }
    }

    private static void giveUp(Engine engine, Waiting waiting) {
        if (engine.waiting.remove(waiting)) {
            waiting.result.gaveUp++;
            waiting.track.recordEnd(0, waiting.sentAt);
        }
    }

    private void startWaiting(Engine engine) {
        while (engine.running < engine.entry.slots() && !engine.waiting.isEmpty()) {
            Waiting next = engine.waiting.poll();
            engine.running++;
            next.track.recordAnswerBegun(next.sentAt);
            boolean inTime = now - next.arrived <= TARGET.toMillis();
            next.result.inTime += inTime ? 1 : 0;
            next.result.late += inTime ? 0 : 1;
            steps.add(new Step(now + next.answerMillis, () -> {
                engine.running--;
                next.track.recordSlotTime(next.answerMillis);
                next.track.recordEnd(0, next.sentAt);
                startWaiting(engine);
            }));
        }
    }

    /** What callers got. */
    static final class Result {
        private int offered;
        private int inTime;
        private int late;
        private int refused;
        private int gaveUp;

        int inTime() {
            return inTime;
        }

        int gaveUp() {
            return gaveUp;
        }

        double inTimeShare() {
            return inTime / (double) offered;
        }

        double gaveUpShare() {
            return gaveUp / (double) offered;
        }

        int refused() {
            return refused;
        }

        @Override
        public String toString() {
            return "offered " + offered + ", in time " + inTime + ", late " + late + ", refused " + refused
                    + ", gave up " + gaveUp;
        }
    }

    private static final class Engine {
        private final ReplicaEntry entry;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        private int running;

        Engine(ReplicaEntry entry) {
            this.entry = entry;
        }
    }

    private record Waiting(UpstreamTrack track, long sentAt, double arrived, double answerMillis, Result result) {}

    private record Step(double at, Runnable run) {}
}
