package io.banyantally.internal.fleet;

import io.banyantally.upstream.EngineRole;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Decides which engines compute prompts only, which do both, and so on. It forecasts demand over the swing with a slow
 * average, and changes a role only if the engine seconds that the new roles save over the horizon outweigh those that
 * the changes lose. Used by one thread at a time.
 */
public final class RolePlanner {
    /** A saving is a forecast and a loss is certain, so the saving must be this much larger. */
    private static final double MIN_SAVING_TO_LOSS_RATIO = 3;

    /** A change is weighed against what it brings over this time; mixes swing within minutes. */
    private static final Duration HORIZON = Duration.ofSeconds(60);

    private static final Duration SMOOTHING_TIME_CONSTANT = Duration.ofSeconds(30);

    /** An engine keeps its role at least this long. */
    private static final Duration MIN_CHANGE_INTERVAL = Duration.ofSeconds(60);

    /** Engines that are busier than this miss their targets in bursts. */
    private static final double MAX_UTILISATION = 0.85;

    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineRates rates;
    private final Duration roleChangeTime;
    private Demand forecast;
    private long forecastAt;
    private long lastChangeAt;

    /**
     * Creates a planner; {@code lostByChange} is how long an engine is unavailable for a role change, drain included.
     */
    public RolePlanner(EngineRates rates, Duration lostByChange) {
        this.rates = rates;
        this.roleChangeTime = lostByChange;
    }

    /** Returns the role changes to order now; empty when the present roles are good enough. */
    public List<RoleChange> plan(long nanoTime, Demand observed, List<FleetUpstream> upstreams) {
        updateForecast(nanoTime, observed);
        boolean settled = upstreams.stream().noneMatch(FleetUpstream::changing);
        boolean stayed = nanoTime - lastChangeAt >= MIN_CHANGE_INTERVAL.toNanos();
        List<FleetUpstream> staying =
                upstreams.stream().filter(FleetUpstream::stays).toList();
        if (!settled || !stayed || staying.size() < 2) {
            return List.of();
        }
        int present = prefillEngines(staying);
        int best = bestPrefillEngines(present, staying.size());
        if (best == present) {
            return List.of();
        }
        double saved = (excessLoad(present, staying.size()) - excessLoad(best, staying.size())) * HORIZON.toSeconds();
        double lost = Math.abs(best - present) * (roleChangeTime.toNanos() / NANOS_PER_SECOND);
        if (saved < MIN_SAVING_TO_LOSS_RATIO * lost) {
            return List.of();
        }
        lastChangeAt = nanoTime;
        return changes(staying, best - present);
    }

    private void updateForecast(long nanoTime, Demand observed) {
        if (forecast == null) {
            // The first observations are one side of a swing, so a new planner watches as long as after a change.
            forecast = observed;
            lastChangeAt = nanoTime;
        } else {
            double part = 1 - Math.exp(-(double) (nanoTime - forecastAt) / SMOOTHING_TIME_CONSTANT.toNanos());
            forecast = forecast.smoothedTowards(observed, part);
        }
        forecastAt = nanoTime;
    }

    private static int prefillEngines(List<FleetUpstream> staying) {
        return (int) staying.stream()
                .filter(upstream -> upstream.role() == EngineRole.PREFILL)
                .count();
    }

    /** One step at a time: the next round sees what the step has brought. */
    private int bestPrefillEngines(int present, int engines) {
        int best = present;
        for (int candidate = Math.max(0, present - 1); candidate <= Math.min(engines - 1, present + 1); candidate++) {
            if (excessLoad(candidate, engines) < excessLoad(best, engines)) {
                best = candidate;
            }
        }
        return best;
    }

    /** Returns the engine seconds a second by which demand would exceed what so many prefill engines leave. */
    private double excessLoad(int prefillEngines, int engines) {
        int others = engines - prefillEngines;
        double atPrefillEngines =
                Math.min(forecast.prefillTokensPerSecond(), prefillEngines * rates.prefillAlone() * MAX_UTILISATION);
        double left = forecast.prefillTokensPerSecond() - atPrefillEngines;
        double otherWork = left / rates.mixedPrefill()
                + forecast.outputTokensPerSecond() / (left > 0 ? rates.mixedDecode() : rates.decodeAlone());
        double over = Math.max(0, otherWork - others * MAX_UTILISATION);
        // Long prompts miss their first-token target on engines that decode as well.
        double lateLong = Math.min(left, forecast.longPromptFraction() * forecast.prefillTokensPerSecond())
                / rates.mixedPrefill();
        return over + lateLong;
    }

    private static List<RoleChange> changes(List<FleetUpstream> staying, int added) {
        EngineRole target = added > 0 ? EngineRole.PREFILL : EngineRole.MIXED;
        List<RoleChange> changes = new ArrayList<>();
        staying.stream()
                .filter(upstream -> (upstream.role() == EngineRole.PREFILL) == (added < 0))
                .sorted(Comparator.comparing(FleetUpstream::id))
                .limit(Math.abs(added))
                .forEach(upstream -> changes.add(new RoleChange(upstream.id(), target)));
        return changes;
    }
}
