package io.banyantally.standins.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Counts and latencies of the outcomes of a run. */
final class LoadTotals {

    private static final long FIRST_TOKEN_TARGET_NANOS = Duration.ofMillis(1400).toNanos();
    private static final long TOKEN_INTERVAL_TARGET_NANOS =
            Duration.ofMillis(32).toNanos();
    private static final long MAXIMUM_MICROS = Duration.ofMinutes(10).toNanos() / 1000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;
    private static final long NANOS_PER_MICRO = 1000;

    private final Map<LoadAccount, AccountTotals> accounts = new LinkedHashMap<>();
    private final Map<Outcome.Kind, LongAdder> kinds = new ConcurrentSkipListMap<>();
    private final Map<String, LongAdder> refusals = new ConcurrentSkipListMap<>();
    private final Map<String, LongAdder> unknown = new ConcurrentSkipListMap<>();
    private final Queue<OrderClaim> orders = new ConcurrentLinkedQueue<>();
    private final Histogram firstToken = new ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram tokenInterval = new ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram call = new ConcurrentHistogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final LongAdder good = new LongAdder();
    private final LongAdder tokens = new LongAdder();

    LoadTotals(List<LoadAccount> loadAccounts) {
        loadAccounts.forEach(account -> accounts.put(account, new AccountTotals()));
        for (Outcome.Kind kind : Outcome.Kind.values()) {
            kinds.put(kind, new LongAdder());
        }
    }

    void add(PlannedRequest request, Outcome outcome) {
        kinds.get(outcome.kind()).increment();
        switch (outcome.kind()) {
            case NOT_RUN -> count(refusals, outcome.refusal());
            case UNKNOWN -> count(unknown, outcome.refusal());
            default -> {}
        }
        boolean isGood = request instanceof PlannedChat && isGood(outcome);
        if (isGood) {
            good.increment();
        }
        accounts.get(request.account()).add(outcome, isGood);
        if (outcome.kind() == Outcome.Kind.COMPLETE) {
            addLatency(request, outcome);
        }
        if (request instanceof PlannedCall planned && planned.isOrder()) {
            OrderClaim.Claim claim = claim(outcome.kind());
            orders.add(new OrderClaim(planned.orderId(), planned.service(), planned.idempotencyKey(), claim, claim));
        }
    }

    private void addLatency(PlannedRequest request, Outcome outcome) {
        if (request instanceof PlannedCall) {
            record(call, outcome.firstTokenNanos());
            return;
        }
        tokens.add(outcome.tokens());
        record(firstToken, outcome.firstTokenNanos());
        if (outcome.tokens() > 1) {
            record(tokenInterval, outcome.tokenIntervalNanos());
        }
    }

    private static boolean isGood(Outcome outcome) {
        return outcome.kind() == Outcome.Kind.COMPLETE
                && outcome.firstTokenNanos() <= FIRST_TOKEN_TARGET_NANOS
                && outcome.tokenIntervalNanos() <= TOKEN_INTERVAL_TARGET_NANOS;
    }

    private static OrderClaim.Claim claim(Outcome.Kind kind) {
        return switch (kind) {
            case COMPLETE, WRONG -> OrderClaim.Claim.RAN;
            case NOT_RUN, NOT_CONNECTED -> OrderClaim.Claim.NOT_RUN;
            case UNKNOWN -> OrderClaim.Claim.UNKNOWN;
            case CUT -> OrderClaim.Claim.NO_ANSWER;
        };
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.min(MAXIMUM_MICROS, Math.max(0, nanos / NANOS_PER_MICRO)));
    }

    private static void count(Map<String, LongAdder> counts, String type) {
        counts.computeIfAbsent(type, _ -> new LongAdder()).increment();
    }

    /** Returns the claims of all orders, in the order of their answers. */
    List<OrderClaim> orderClaims() {
        return List.copyOf(orders);
    }

    LoadSummary summary(Deployment deployment, long seed, double seconds, List<OrderClaim> claims) {
        List<LoadSummary.AccountSummary> accountSummaries = new ArrayList<>();
        accounts.forEach((account, totals) -> accountSummaries.add(totals.summary(account, seconds)));
        return new LoadSummary(
                deployment.name(),
                seed,
                seconds,
                kinds.values().stream().mapToLong(LongAdder::sum).sum(),
                count(Outcome.Kind.COMPLETE),
                good.sum(),
                good.sum() / seconds,
                count(Outcome.Kind.NOT_CONNECTED),
                count(Outcome.Kind.CUT),
                count(Outcome.Kind.WRONG),
                counts(refusals),
                counts(unknown),
                claims(claims, OrderClaim.Claim.RAN),
                claims(claims, OrderClaim.Claim.NOT_RUN),
                claims(claims, OrderClaim.Claim.UNKNOWN),
                claims(claims, OrderClaim.Claim.NO_ANSWER),
                claims.stream().filter(LoadTotals::isStillUnknown).count(),
                tokens.sum(),
                latency(firstToken),
                latency(tokenInterval),
                latency(call),
                accountSummaries,
                claims);
    }

    private static boolean isStillUnknown(OrderClaim order) {
        return order.later() == OrderClaim.Claim.UNKNOWN || order.later() == OrderClaim.Claim.NO_ANSWER;
    }

    private long count(Outcome.Kind kind) {
        return kinds.get(kind).sum();
    }

    private static long claims(List<OrderClaim> claims, OrderClaim.Claim claim) {
        return claims.stream().filter(order -> order.claim() == claim).count();
    }

    private static List<LoadSummary.Count> counts(Map<String, LongAdder> counts) {
        List<LoadSummary.Count> all = new ArrayList<>();
        counts.forEach((type, count) -> all.add(new LoadSummary.Count(type, count.sum())));
        return all;
    }

    private static LoadSummary.Latency latency(Histogram histogram) {
        return new LoadSummary.Latency(
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI);
    }
}
