package io.banyantally.standins.experiment;

import io.banyantally.standins.engine.EngineCosts;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Generates a random trace from a seed. The offered work is a constant fraction of capacity, while the share of long
 * prompts in it oscillates with a period of about one to two minutes. Capacity is the work of six engines that both
 * prefill and decode, if every step keeps the token interval target, every prompt token that was sent before is
 * cached, and no time is lost between requests.
 */
final class TraceGenerator {
    static final long NANOS_PER_SECOND = 1_000_000_000L;
    static final long LENGTH_NANOS = 240 * NANOS_PER_SECOND;

    private static final double INTERVAL_TARGET_NANOS = 32e6;
    private static final double MINIMUM_LONG_SHARE = 0.08;
    private static final double MAXIMUM_LONG_SHARE = 0.62;
    private static final double MINIMUM_PERIOD_SECONDS = 70;
    private static final double MAXIMUM_PERIOD_SECONDS = 130;

    /** Mean number of questions about one inspection history. */
    private static final int QUESTIONS_PER_HISTORY = 4;

    private static final int ACTIVE_HISTORIES = 24;
    private static final int MANUAL_BLOCKS = 4;

    private final Site site;
    private final long seed;
    private final double load;
    private final EngineCosts costs;
    private final RandomGenerator random;
    private final List<long[]> histories = new ArrayList<>();
    private final long[] manual;
    private int nextNumber;

    TraceGenerator(Site site, long seed, double load, EngineCosts costs) {
        this.site = site;
        this.seed = seed;
        this.load = load;
        this.costs = costs;
        this.random = new SplittableRandom(seed * 31 + site.name().hashCode());
        this.manual = hashes(MANUAL_BLOCKS);
        for (int history = 0; history < ACTIVE_HISTORIES; history++) {
            histories.add(newHistory());
        }
    }

    Trace generate() {
        double periodSeconds =
                MINIMUM_PERIOD_SECONDS + random.nextDouble() * (MAXIMUM_PERIOD_SECONDS - MINIMUM_PERIOD_SECONDS);
        double phase = random.nextDouble();
        List<TraceRequest> requests = new ArrayList<>();
        double now = 0;
        while (true) {
            double longShare = longShare(now / NANOS_PER_SECOND / periodSeconds + phase);
            double rate =
                    load * Site.ENGINES / (longShare * longRequestSeconds() + (1 - longShare) * shortRequestSeconds());
            now += -Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND;
            if (now >= LENGTH_NANOS) {
                break;
            }
            requests.add(random.nextDouble() < longShare ? longRequest((long) now) : shortRequest((long) now));
        }
        long reclaimAt = (long) ((0.35 + 0.3 * random.nextDouble()) * LENGTH_NANOS);
        return new Trace(
                site,
                seed,
                load,
                LENGTH_NANOS,
                requests,
                reclaimAt,
                site.zones().getLast());
    }

    /** Returns the share of long prompts: a sine wave with steep flanks, as real mixes shift fast. */
    private static double longShare(double periods) {
        double wave = Math.tanh(2 * Math.sin(2 * Math.PI * periods)) / Math.tanh(2);
        return MINIMUM_LONG_SHARE + (MAXIMUM_LONG_SHARE - MINIMUM_LONG_SHARE) * (1 + wave) / 2;
    }

    private double longRequestSeconds() {
        double uncached = site.sharedManual() ? 5_500 : 11_000.0 / QUESTIONS_PER_HISTORY + 900;
        return uncached * secondsPerPromptToken() + 120 * secondsPerOutputToken();
    }

    private double shortRequestSeconds() {
        return 550 * secondsPerPromptToken() + 180 * secondsPerOutputToken();
    }

    /** Returns the engine seconds of an output token in a step that only decodes. */
    private double secondsPerOutputToken() {
        return INTERVAL_TARGET_NANOS / maximumBatch(0) / NANOS_PER_SECOND;
    }

    /** Returns the engine seconds of a prompt token: a step with a full chunk, less what its smaller batch decodes. */
    private double secondsPerPromptToken() {
        int chunk = costs.prefillChunkTokens();
        return INTERVAL_TARGET_NANOS / chunk * (1 - maximumBatch(chunk) / maximumBatch(0)) / NANOS_PER_SECOND;
    }

    /** Returns the largest batch that keeps the interval target beside {@code promptTokens} in a step. */
    private double maximumBatch(int promptTokens) {
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
        return new TraceRequest(nextNumber++, arrival, account(), random.nextInt(Site.VMS), prefix, prompt, output);
    }

    private long[] manualAndLog() {
        long[] log = hashes(between(1, 3));
        long[] joined = new long[MANUAL_BLOCKS + log.length];
        System.arraycopy(manual, 0, joined, 0, MANUAL_BLOCKS);
        System.arraycopy(log, 0, joined, MANUAL_BLOCKS, log.length);
        return joined;
    }

    private long[] history() {
        int index = random.nextInt(ACTIVE_HISTORIES);
        long[] history = histories.get(index);
        if (random.nextInt(QUESTIONS_PER_HISTORY) == 0) {
            histories.set(index, newHistory());
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
        while (account < site.accounts() - 1 && draw >= site.accountShare(account)) {
            draw -= site.accountShare(account);
            account++;
        }
        return account;
    }

    private int between(int minimum, int maximum) {
        return minimum + random.nextInt(maximum - minimum + 1);
    }
}
