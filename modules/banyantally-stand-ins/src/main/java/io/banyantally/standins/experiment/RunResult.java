package io.banyantally.standins.experiment;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What was measured in one run.
 *
 * @param goodput good requests a second
 * @param firstToken microseconds until the first token of requests that ended
 * @param interval microseconds between tokens of requests that ended
 * @param worstAccount the part of its requests that were good, of the client account with the least
 * @param jain Jain's index over the accounts' parts of good requests
 * @param cheapPart the part of the ended requests that cheap upstreams served
 * @param goodPerBucket good requests a second in each {@link #BUCKET_SECONDS} of the trace
 */
record RunResult(
        Trace trace,
        PolicyKind policy,
        double offered,
        double goodput,
        double refusedPart,
        Histogram firstToken,
        Histogram interval,
        double worstAccount,
        double jain,
        int roleChanges,
        double costPerThousandGood,
        double cheapPart,
        int harmed,
        double[] goodPerBucket) {
    static final int BUCKET_SECONDS = 5;

    private static final long HIGHEST_MICROS = 120_000_000L;
    private static final double MICRO = 1e3;

    static RunResult of(Trace trace, PolicyKind policy, List<RequestRun> runs, int roleChanges, double cost) {
        double seconds = trace.length() / (double) TraceGenerator.SECOND;
        Histogram firstToken = new Histogram(HIGHEST_MICROS, 2);
        Histogram interval = new Histogram(HIGHEST_MICROS, 2);
        int accounts = trace.site().accounts();
        double[] good = new double[accounts];
        double[] sent = new double[accounts];
        double[] buckets = new double[(int) seconds / BUCKET_SECONDS];
        int refused = 0;
        int harmed = 0;
        int ended = 0;
        int cheap = 0;
        for (RequestRun run : runs) {
            sent[run.request.account()]++;
            refused += run.isRefused() ? 1 : 0;
            harmed += run.isHarmed() ? 1 : 0;
            if (run.isFinished()) {
                ended++;
                cheap += run.isOnCheap() ? 1 : 0;
                firstToken.recordValue(micros(run.firstTokenNanos()));
                interval.recordValue(micros(run.intervalNanos()));
            }
            if (run.isGood()) {
                good[run.request.account()]++;
                int bucket = (int) (run.request.arrival() / TraceGenerator.SECOND / BUCKET_SECONDS);
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
                worst(good, sent),
                jain(good, sent),
                roleChanges,
                1_000 * cost / Math.max(1, allGood),
                (double) cheap / Math.max(1, ended),
                harmed,
                buckets);
    }

    private static long micros(double nanos) {
        return Math.clamp((long) (nanos / MICRO), 0, HIGHEST_MICROS);
    }

    private static double worst(double[] good, double[] sent) {
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
            double part = good[account] / Math.max(1, sent[account]);
            sum += part;
            squares += part * part;
        }
        return squares == 0 ? 0 : sum * sum / (good.length * squares);
    }
}
