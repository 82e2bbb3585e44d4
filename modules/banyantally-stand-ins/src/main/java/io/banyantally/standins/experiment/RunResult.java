package io.banyantally.standins.experiment;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The measurements of one run.
 *
 * @param goodput good requests a second
 * @param firstToken microseconds until the first token of finished requests
 * @param interval mean microseconds between tokens of finished requests
 * @param lowestGoodShare the lowest share of good requests of a client account
 * @param jain Jain's fairness index over the accounts' shares of good requests
 * @param cheapShare the share of the finished requests that cheap upstreams served
 * @param goodPerBucket good requests a second in each {@link #BUCKET_SECONDS} of the trace
 */
record RunResult(
        Trace trace,
        PolicyKind policy,
        double offered,
        double goodput,
        double refusedShare,
        Histogram firstToken,
        Histogram interval,
        double lowestGoodShare,
        double jain,
        int roleChanges,
        double costPerThousandGood,
        double cheapShare,
        int harmed,
        double[] goodPerBucket) {
    static final int BUCKET_SECONDS = 5;

    private static final long MAXIMUM_MICROS = 120_000_000L;
    private static final double NANOS_PER_MICRO = 1e3;

    static RunResult of(Trace trace, PolicyKind policy, List<RequestRun> runs, int roleChanges, double cost) {
        double seconds = trace.lengthNanos() / (double) TraceGenerator.NANOS_PER_SECOND;
        Histogram firstToken = new Histogram(MAXIMUM_MICROS, 2);
        Histogram interval = new Histogram(MAXIMUM_MICROS, 2);
        int accounts = trace.site().accounts();
        double[] good = new double[accounts];
        double[] sent = new double[accounts];
        double[] buckets = new double[(int) seconds / BUCKET_SECONDS];
        int refused = 0;
        int harmed = 0;
        int finished = 0;
        int cheap = 0;
        for (RequestRun run : runs) {
            sent[run.request.account()]++;
            refused += run.isRefused() ? 1 : 0;
            harmed += run.isHarmed() ? 1 : 0;
            if (run.isFinished()) {
                finished++;
                cheap += run.isServedByCheap() ? 1 : 0;
                firstToken.recordValue(micros(run.firstTokenNanos()));
                interval.recordValue(micros(run.intervalNanos()));
            }
            if (run.isGood()) {
                good[run.request.account()]++;
                int bucket = (int) (run.request.arrivalNanos() / TraceGenerator.NANOS_PER_SECOND / BUCKET_SECONDS);
                buckets[Math.min(buckets.length - 1, bucket)] += 1.0 / BUCKET_SECONDS;
            }
        }
        double allGood = 0;
        for (double one : good) {
            allGood += one;
        }
        return new RunResult(
                trace,
                policy,
                runs.size() / seconds,
                allGood / seconds,
                (double) refused / Math.max(1, runs.size()),
                firstToken,
                interval,
                lowestShare(good, sent),
                jain(good, sent),
                roleChanges,
                1_000 * cost / Math.max(1, allGood),
                (double) cheap / Math.max(1, finished),
                harmed,
                buckets);
    }

    private static long micros(double nanos) {
        return Math.clamp((long) (nanos / NANOS_PER_MICRO), 0, MAXIMUM_MICROS);
    }

    private static double lowestShare(double[] good, double[] sent) {
        double worst = 1;
        for (int account = 0; account < good.length; account++) {
            worst = Math.min(worst, good[account] / Math.max(1, sent[account]));
        }
        return worst;
    }

    private static double jain(double[] good, double[] sent) {
        double sum = 0;
        double squares = 0;
        for (int account = 0; account < good.length; account++) {
            double share = good[account] / Math.max(1, sent[account]);
            sum += share;
            squares += share * share;
        }
        return squares == 0 ? 0 : sum * sum / (good.length * squares);
    }
}
