package io.banyantally.internal.placement;

import io.banyantally.deployment.AccountRateLimit;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The rate limit of one client account, and how much of it is used.
 *
 * <p>A VM that knows of {@code left} units below the limit may send a part of them in a round, in proportion to what its
 * callers have asked for out of all that the VMs were asked for. Others know what a VM was asked for only after a round,
 * so what counts is the demand of before the round; a VM whose demand has just risen gets a fixed part instead.
 */
final class AccountLimit {

    /** How much of the tolerated excess is used. */
    private static final double USED_EXCESS = 0.3;

    /** The part of a limit below the tolerated excess that covers sends which VMs do not see of each other in time. */
    private static final double UNSEEN_PART = 0.07;

    /**
     * The part of a limit beyond which silent VMs' known use takes from what others may send. Without it, others would
     * send nothing for a window after VMs fall silent while the use is slightly above the limit.
     */
    private static final double SILENT_PART = 0.04;

    /**
     * How much of the units left all VMs with known demand may send in a round. More than 1, as callers do not use up
     * the parts of all VMs at once: with 0.5, 8% are refused at 95 VMs whose demand is 95% of the rate, with 2 none; but
     * with 2, ten times the rate that comes at all 95 VMs at once exceeds a tolerance of 10%.
     */
    private static final double ROUND_PART = 1.5;

    /** The part of a VM whose demand has just risen; a few such VMs together get what is left. */
    private static final double NEWCOMER_PART = 0.125;

    /** Demand that has risen by more than this factor within a round counts as new. */
    private static final double NEW_DEMAND = 2;

    /** Requests arrive at an upstream up to this much later than they are counted, most of them after prefill. */
    private static final Duration ARRIVAL_SPREAD = Duration.ofMillis(200);

    /** The time for which demand is added up; shorter, and callers with a request a second would seem new each time. */
    private static final Duration DEMAND_TIME = Duration.ofSeconds(2);

    /** Shorter waits would only repeat the refusal, as use of other VMs is known some 100 ms late. */
    private static final Duration MINIMUM_WAIT = Duration.ofMillis(50);

    private static final double NANOS_PER_SECOND = 1e9;

    private final AccountLimitRule rule;
    private final RandomGenerator random;
    private final LimitDivision division;
    private final SendWindow asked;
    private double roundDraw;

    AccountLimit(AccountLimitRule rule, RandomGenerator random, long now) {
        this.rule = rule;
        this.random = random;
        this.division = new LimitDivision(now);
        this.asked = new SendWindow(now);
        this.roundDraw = random.nextDouble();
    }

    /** Counts units that are about to be sent and returns empty, or returns the time until there should be capacity. */
    synchronized Optional<Duration> tryTake(AccountRateLimit limit, long units, LimitSharers sharers, long now) {
        asked.add(units, now);
        LimitDivision.Sends known = use(vm -> true, now);
        if (division.beginRound(sharers, now)) {
            roundDraw = random.nextDouble();
        }
        double left = left(limit, sharers, known, now);
        boolean fits = units <= left
                && (sharers.vms() == 1
                        || division.roundSends() + units * roundDraw <= left * roundPart(sharers, known, now));
        if (fits) {
            division.add(units, now);
            return Optional.empty();
        }
        return Optional.of(wait(limit, units - left, units, known));
    }

    /** Takes back units that were counted at a time and did not run. */
    synchronized void giveBack(long units, long takenAt) {
        division.remove(units, takenAt);
    }

    synchronized void recordPeerUse(VmId peer, LimitDivision.Sends use, long now) {
        division.recordPeerSends(peer, use, now);
    }

    /** Returns the use by this VM and by the peers that {@code included} accepts. */
    synchronized LimitDivision.Sends use(Predicate<VmId> included, long now) {
        return division.sends(included, countedWindow(), asked.count(now, DEMAND_TIME), now);
    }

    /**
     * Returns the units that may still be sent. VMs that hear each other use their part by number of the limit; what
     * silent VMs were known to send counts against the whole limit until it leaves the window.
     */
    private double left(AccountRateLimit limit, LimitSharers sharers, LimitDivision.Sends known, long now) {
        double size = size(limit);
        double peerSecond = known.second()
                - division.sends(vm -> false, countedWindow(), 0, now).second();
        double unseen = peerSecond * sharers.knowledgeAge().toNanos() / NANOS_PER_SECOND;
        double heard = known.window() - known.silent();
        double part = sharers.heardPart();
        return Math.min(size * part - heard, size * (1 + SILENT_PART * part) - known.window()) - unseen;
    }

    /** Returns the part of the units left that this VM may send in a round. */
    private double roundPart(LimitSharers sharers, LimitDivision.Sends known, long now) {
        long own = asked.count(now, DEMAND_TIME);
        Duration untilRound = DEMAND_TIME.plus(sharers.knowledgeAge());
        long before = asked.count(now, untilRound) - asked.count(now, sharers.knowledgeAge());
        double all = Math.max(1.0, (double) known.wanting());
        double part = Math.min(own, before) / all;
        return ROUND_PART * (own > NEW_DEMAND * before ? Math.max(part, NEWCOMER_PART) : part);
    }

    private double size(AccountRateLimit limit) {
        double seconds = rule.window().toNanos() / NANOS_PER_SECOND;
        double size = (limit.perSecond() * seconds + limit.burst())
                * Math.min(1 + USED_EXCESS * rule.excess(), 1 + rule.excess() - UNSEEN_PART);
        // Sends are counted for a shorter time than the rule's if its window is longer than those that are kept.
        return size
                * Math.min(
                        1.0, (double) countedWindow().toNanos() / rule.window().toNanos());
    }

    private Duration countedWindow() {
        Duration window = rule.window().plus(ARRIVAL_SPREAD);
        return window.compareTo(SendWindow.MAXIMUM) < 0 ? window : SendWindow.MAXIMUM;
    }

    /** Returns when there should be capacity, spread over the time that all waiting demand takes at the rate. */
    private Duration wait(AccountRateLimit limit, double excess, long units, LimitDivision.Sends known) {
        double allowed = limit.perSecond() * DEMAND_TIME.toSeconds();
        double spread = Math.max((double) units, known.wanting() - allowed) * random.nextDouble();
        double nanos = (Math.max(0, excess) + spread) / limit.perSecond() * NANOS_PER_SECOND;
        Duration wait = MINIMUM_WAIT.plusNanos(
                (long) Math.min(nanos, (double) rule.window().toNanos()));
        return wait.compareTo(rule.window()) < 0 ? wait : rule.window();
    }
}
