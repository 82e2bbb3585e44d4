package io.banyantally.standins.experiment;

import io.banyantally.standins.engine.EngineCosts;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Draws a trace from a seed. The offered work is a constant part of capacity, while the part of long prompts in it swings
 * within minutes. Capacity is what six engines that do both kinds of work can do with the interval target kept in every
 * step, if every prompt token that was sent before is cached and no time is lost between requests.
 */
final class TraceGenerator {
    static final long SECOND = 1_000_000_000L;
    static final long LENGTH = 240 * SECOND;

    private static final double INTERVAL_TARGET_NANOS = 32e6;
    private static final double FEWEST_LONG = 0.08;
    private static final double MOST_LONG = 0.62;
    private static final double SHORTEST_SWING_SECONDS = 70;
    private static final double LONGEST_SWING_SECONDS = 130;

    /** Questions about one inspection history, on average. */
    private static final int QUESTIONS_PER_HISTORY = 4;

    private static final int OPEN_HISTORIES = 24;
    private static final int MANUAL_BLOCKS = 4;

    private final Site site;
    private final long seed;
    private final double load;
    private final EngineCosts costs;
    private final RandomGenerator random;
    private final List<long[]> histories = new ArrayList<>();
    private final long[] manual;
    private int number;

    TraceGenerator(Site site, long seed, double load, EngineCosts costs) {
        this.site = site;
        this.seed = seed;
        this.load = load;
        this.costs = costs;
        this.random = new SplittableRandom(seed * 31 + site.name().hashCode());
        this.manual = hashes(MANUAL_BLOCKS);
        for (int history = 0; history < OPEN_HISTORIES; history++) {
            histories.add(newHistory());
        }
    }

    Trace generate() {
        double swing = SHORTEST_SWING_SECONDS + random.nextDouble() * (LONGEST_SWING_SECONDS - SHORTEST_SWING_SECONDS);
        double phase = random.nextDouble();
        List<TraceRequest> requests = new ArrayList<>();
        double now = 0;
        while (true) {
            double longPart = longPart(now / SECOND / swing + phase);
            double rate = load * Site.ENGINES / (longPart * longWork() + (1 - longPart) * shortWork());
            now += -Math.log(1 - random.nextDouble()) / rate * SECOND;
            if (now >= LENGTH) {
                break;
            }
            requests.add(random.nextDouble() < longPart ? longRequest((long) now) : shortRequest((long) now));
        }
        long reclaimAt = (long) ((0.35 + 0.3 * random.nextDouble()) * LENGTH);
        return new Trace(
                site, seed, load, LENGTH, requests, reclaimAt, site.zones().getLast());
    }

    /** Rises and falls steeply, as shifts between kinds of work do. */
    private static double longPart(double swings) {
        double wave = Math.tanh(2 * Math.sin(2 * Math.PI * swings)) / Math.tanh(2);
        return FEWEST_LONG + (MOST_LONG - FEWEST_LONG) * (1 + wave) / 2;
    }

    private double longWork() {
        double uncached = site.sharedManual() ? 5_500 : 11_000.0 / QUESTIONS_PER_HISTORY + 900;
        return uncached * promptWork() + 120 * outputWork();
    }

    private double shortWork() {
        return 550 * promptWork() + 180 * outputWork();
    }

    /** Returns the engine seconds of an output token in a step that only decodes. */
    private double outputWork() {
        return INTERVAL_TARGET_NANOS / batch(0) / SECOND;
    }

    /** Returns the engine seconds of a prompt token: a step with a full chunk, less what its smaller batch decodes. */
    private double promptWork() {
        int chunk = costs.prefillChunkTokens();
        return INTERVAL_TARGET_NANOS / chunk * (1 - batch(chunk) / batch(0)) / SECOND;
    }

    /** Returns the largest batch that keeps the interval target beside so many prompt tokens in a step. */
    private double batch(int promptTokens) {
        return (INTERVAL_TARGET_NANOS - costs.stepNanos(0, promptTokens) - costs.decodeBaseNanos())
                / costs.decodePerStreamNanos();
    }

    private TraceRequest longRequest(long arrival) {
        long[] prefix = site.sharedManual() ? manualAndLog() : history();
        int question = between(300, 1_500);
        return request(arrival, prefix, prefix.length * EngineCosts.BLOCK_TOKENS + question, between(60, 180));
    }

    private TraceRequest shortRequest(long arrival) {
        return request(arrival, new long[0], between(200, 900), between(90, 270));
    }

    private TraceRequest request(long arrival, long[] prefix, int prompt, int output) {
        return new TraceRequest(number++, arrival, account(), random.nextInt(Site.VMS), prefix, prompt, output);
    }

    private long[] manualAndLog() {
        long[] log = hashes(between(1, 3));
        long[] joined = new long[MANUAL_BLOCKS + log.length];
        System.arraycopy(manual, 0, joined, 0, MANUAL_BLOCKS);
        System.arraycopy(log, 0, joined, MANUAL_BLOCKS, log.length);
        return joined;
    }

    private long[] history() {
        int place = random.nextInt(OPEN_HISTORIES);
        long[] history = histories.get(place);
        if (random.nextInt(QUESTIONS_PER_HISTORY) == 0) {
            histories.set(place, newHistory());
        }
        return history;
    }

    private long[] newHistory() {
        return hashes(between(4, 7));
    }

    private long[] hashes(int blocks) {
        long[] hashes = new long[blocks];
        for (int block = 0; block < blocks; block++) {
            hashes[block] = random.nextLong();
        }
        return hashes;
    }

    private int account() {
        double draw = random.nextDouble();
        int account = 0;
        while (account < site.accounts() - 1 && draw >= site.accountPart(account)) {
            draw -= site.accountPart(account);
            account++;
        }
        return account;
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }
}
