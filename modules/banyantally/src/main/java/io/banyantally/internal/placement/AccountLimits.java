package io.banyantally.internal.placement;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.AccountRateLimit;
import io.banyantally.deployment.AccountRule;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** The rate limits of client accounts, which all VMs keep together. Accounts without a limit have no state here. */
public final class AccountLimits {

    /** Accounts whose use is kept; far more than a configuration names with a limit. */
    private static final int MAXIMUM_ACCOUNTS = 10_000;

    /** A line for each refusal would fill the log, as refusals of one account come by the thousand. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    private static final EventLog LOG = EventLog.of(AccountLimits.class);

    private final AccountLimitRule rule;
    private final Supplier<LimitSharers> sharers;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final Counter reached;
    private final Counter givenBack;
    private final AtomicLong loggedAt;
    private final Map<ClientAccountId, AccountLimit> limits = new ConcurrentHashMap<>();

    /**
     * Creates limits of which nothing is used.
     *
     * @param sharers returns the VMs that share the limits now
     * @param random decides between VMs and spreads retries; several threads use it
     */
    public AccountLimits(
            AccountLimitRule rule,
            Supplier<LimitSharers> sharers,
            MonotonicClock clock,
            RandomGenerator random,
            MetricRegistry metrics) {
        this.rule = rule;
        this.sharers = sharers;
        this.clock = clock;
        this.random = random;
        this.reached = metrics.counter("accounts.limit_reached");
        this.givenBack = metrics.counter("accounts.limit_given_back");
        this.loggedAt = new AtomicLong(clock.nanoTime() - LOG_INTERVAL.toNanos());
    }

    /** Counts a request of an account, or says when there should be capacity for it. */
    public Answer tryTake(AccountRule account, long units) {
        if (account.rateLimit().isEmpty() || units <= 0) {
            return new Permit(account.account(), 0, 0);
        }
        AccountRateLimit limit = account.rateLimit().get();
        long now = clock.nanoTime();
        LimitSharers known = sharers.get();
        Optional<Duration> wait = limit(account.account()).tryTake(limit, units, known, now);
        if (wait.isEmpty()) {
            return new Permit(account.account(), units, now);
        }
        reached.inc();
        logReached(account.account(), limit, units, known, now);
        return new Exceeded(wait.get());
    }

    private void logReached(ClientAccountId account, AccountRateLimit limit, long units, LimitSharers known, long now) {
        long last = loggedAt.get();
        if (now - last >= LOG_INTERVAL.toNanos() && loggedAt.compareAndSet(last, now)) {
            LOG.info(
                    "account_limit_reached",
                    EventField.of("account", account),
                    EventField.of("units", units),
                    EventField.of("per_second", limit.perSecond()),
                    EventField.of(
                            "known_window", limit(account).use(vm -> true, now).window()),
                    EventField.of("vms_heard", known.heard()),
                    EventField.of("vms", known.vms()));
        }
    }

    /** Returns the units of a request that did not run. */
    public void giveBack(Permit permit) {
        if (permit.units() > 0) {
            givenBack.inc();
            limit(permit.account()).giveBack(permit.units(), permit.takenAt());
        }
    }

    /** Returns the use of the limits by this VM and by the peers that {@code included} accepts. */
    public List<AccountUse> uses(Predicate<VmId> included) {
        if (limits.isEmpty()) {
            return List.of();
        }
        long now = clock.nanoTime();
        List<AccountUse> uses = new ArrayList<>();
        limits.forEach((account, limit) -> {
            LimitDivision.Sends use = limit.use(included, now);
            if (use.window() > 0 || use.wanting() > 0) {
                uses.add(new AccountUse(account.value(), use.window(), use.silent(), use.second(), use.wanting()));
            }
        });
        return uses;
    }

    /** Receives what a peer knows; {@code peer} names it and all VMs whose use it has added. */
    public void receive(VmId peer, List<AccountUse> uses) {
        long now = clock.nanoTime();
        for (AccountUse use : uses) {
            limit(new ClientAccountId(use.account()))
                    .recordPeerUse(
                            peer,
                            new LimitDivision.Sends(
                                    use.windowUnits(), use.secondUnits(), use.askedUnits(), use.silentUnits()),
                            now);
        }
    }

    private AccountLimit limit(ClientAccountId account) {
        AccountLimit limit = limits.computeIfAbsent(account, key -> new AccountLimit(rule, random, clock.nanoTime()));
        if (limits.size() > MAXIMUM_ACCOUNTS) {
            long now = clock.nanoTime();
            limits.values()
                    .removeIf(other ->
                            other != limit && other.use(vm -> true, now).window() == 0);
        }
        return limit;
    }

    /** Whether a request may be sent. */
    public sealed interface Answer {}

    /** The request is counted and may be sent; {@link #giveBack} ends that if it does not run. */
    public record Permit(ClientAccountId account, long units, long takenAt) implements Answer {}

    /** The request is beyond the limit; there should be capacity after {@code retryAfter}. */
    public record Exceeded(Duration retryAfter) implements Answer {}
}
