package io.banyantally.internal.fleet;

import io.banyantally.upstream.EngineRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which engines only prefill and which also decode. It forecasts demand by an exponential moving average that
 * is slower than its swings, and changes a role only if the engine seconds that the new roles save over the horizon
 * outweigh those that the changes cost. Not thread-safe.
 */
public final class RolePlanner {
    /** The saving is a forecast and the loss is certain, so the saving must be this many times larger. */
    private static final double MINIMUM_SAVING_TO_LOSS_RATIO = 3;

    /** The time over which the saving of a change is summed; the mix of demand swings within minutes. */
    private static final Duration HORIZON = Duration.ofSeconds(60);

    private static final Duration SMOOTHING_TIME_CONSTANT = Duration.ofSeconds(30);

    /** Roles stay unchanged at least this long after a change. */
    private static final Duration MINIMUM_CHANGE_INTERVAL = Duration.ofSeconds(60);

    /** Above this utilisation, engines miss their latency targets in bursts. */
    private static final double MAXIMUM_UTILISATION = 0.85;

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineRates rates;
    private final Duration roleChangeTime;
    private Demand forecast;
    private long forecastAt;
    private long lastChangeAt;

    /**
     * Creates a planner; {@code roleChangeTime} is how long an engine is unavailable for a role change, drain included.
     */
    public RolePlanner(EngineRates rates, Duration roleChangeTime) {
        this.rates = rates;
        this.roleChangeTime = roleChangeTime;
    }

    /** Returns the role changes to order now; empty if no change would save enough. */
    public List<RoleChange> plan(long nanoTime, Demand observed, List<FleetUpstream> upstreams) {
        updateForecast(nanoTime, observed);
        boolean noneChanging = upstreams.stream().noneMatch(FleetUpstream::changing);
        boolean intervalElapsed = nanoTime - lastChangeAt >= MINIMUM_CHANGE_INTERVAL.toNanos();
        List<FleetUpstream> staying =
                upstreams.stream().filter(FleetUpstream::stays).toList();
        if (!noneChanging || !intervalElapsed || staying.size() < 2) {
            return List.of();
        }
        int current = prefillEngines(staying);
        int bestCount = bestPrefillEngines(current, staying.size());
        if (bestCount == current) {
            return List.of();
        }
        double savedEngineSeconds =
                (excessLoad(current, staying.size()) - excessLoad(bestCount, staying.size())) * HORIZON.toSeconds();
        double lostEngineSeconds = Math.abs(bestCount - current) * (roleChangeTime.toNanos() / NANOS_PER_SECOND);
        if (savedEngineSeconds < MINIMUM_SAVING_TO_LOSS_RATIO * lostEngineSeconds) {
            return List.of();
        }
        lastChangeAt = nanoTime;
        return changes(staying, bestCount - current);
    }

    private void updateForecast(long nanoTime, Demand observed) {
        if (forecast == null) {
            // The first observations may show one side of a swing, so a new planner waits as long as after a change.
            forecast = observed;
            lastChangeAt = nanoTime;
        } else {
            double weight = 1 - Math.exp(-(double) (nanoTime - forecastAt) / SMOOTHING_TIME_CONSTANT.toNanos());
            forecast = forecast.smoothedTowards(observed, weight);
        }
        forecastAt = nanoTime;
    }

    private static int prefillEngines(List<FleetUpstream> staying) {
        return (int) staying.stream()
                .filter(upstream -> upstream.role() == EngineRole.PREFILL)
                .count();
    }

    /** Changes the number by one at most; the next round then observes the effect. */
    private int bestPrefillEngines(int current, int engines) {
        int bestCount = current;
        for (int candidate = Math.max(0, current - 1); candidate <= Math.min(engines - 1, current + 1); candidate++) {
            if (excessLoad(candidate, engines) < excessLoad(bestCount, engines)) {
                bestCount = candidate;
            }
        }
        return bestCount;
    }

    /** Returns the engine seconds per second by which demand exceeds capacity with so many prefill engines. */
    private double excessLoad(int prefillEngines, int engines) {
        int otherEngines = engines - prefillEngines;
        double dedicatedPrefillTokens = Math.min(
                forecast.prefillTokensPerSecond(), prefillEngines * rates.prefillAlone() * MAXIMUM_UTILISATION);
        double mixedPrefillTokens = forecast.prefillTokensPerSecond() - dedicatedPrefillTokens;
        double otherWork = mixedPrefillTokens / rates.mixedPrefill()
                + forecast.outputTokensPerSecond()
                        / (mixedPrefillTokens > 0 ? rates.mixedDecode() : rates.decodeAlone());
        double overload = Math.max(0, otherWork - otherEngines * MAXIMUM_UTILISATION);
        // Long prompts miss their first-token target on engines that also decode, so they count as excess load.
        double lateLongPrompts =
                Math.min(mixedPrefillTokens, forecast.longPromptFraction() * forecast.prefillTokensPerSecond())
                        / rates.mixedPrefill();
        return overload + lateLongPrompts;
    }

    private static List<RoleChange> changes(List<FleetUpstream> staying, int addedPrefillEngines) {
        EngineRole target = addedPrefillEngines > 0 ? EngineRole.PREFILL : EngineRole.MIXED;
        List<RoleChange> changes = new ArrayList<>();
        staying.stream()
                .filter(upstream -> (upstream.role() == EngineRole.PREFILL) == (addedPrefillEngines < 0))
                .sorted(Comparator.comparing(FleetUpstream::id))
                .limit(Math.abs(addedPrefillEngines))
                .forEach(upstream -> changes.add(new RoleChange(upstream.id(), target)));
        return changes;
    }
}
