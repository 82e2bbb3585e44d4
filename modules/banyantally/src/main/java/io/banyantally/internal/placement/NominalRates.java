package io.banyantally.internal.placement;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.VmId;
import java.util.List;
import java.util.function.Predicate;

/**
 * Takes all engines for equally fast, whatever they are. Measured rates are used on request only: with them, fleets of
 * slow engines refuse prompts that they would serve late, since one prompt ahead exceeds the limit of the wait.
 */
public final class NominalRates extends EngineRates {

    private static final double TOKENS_PER_MILLI = 514;

    /** Prefill time that attention to one earlier token adds to each token. */
    private static final double MILLIS_PER_TOKEN_PAIR = 8.08e-8;

    /** The fraction of prompts whose session is no longer cached at its home engine. */
    private static final double HOME_CACHE_MISS_RATE = 0.35;

    /** Creates rates that nothing changes. */
    public NominalRates(MonotonicClock clock, MetricRegistry metrics) {
        super(clock, metrics);
    }

    @Override
    synchronized double prefillMillis(ReplicaEntry engine, PromptMetadata prompt, CacheExpectation cache) {
        double tokens = uncachedTokens(prompt, cache);
        return tokens / TOKENS_PER_MILLI + tokens * prompt.promptTokens() * MILLIS_PER_TOKEN_PAIR;
    }

    private static double uncachedTokens(PromptMetadata prompt, CacheExpectation cache) {
        List<PromptPart> parts = prompt.parts();
        int unique = parts.isEmpty() ? prompt.promptTokens() : parts.getLast().tokens();
        int session = parts.size() < 2 ? 0 : parts.get(parts.size() - 2).tokens();
        return unique + session * (cache == CacheExpectation.HOME ? HOME_CACHE_MISS_RATE : 1);
    }

    @Override
    public synchronized void recordPrefill(
            Placement.Decision.Send choice, PromptMetadata prompt, double elapsedMillis) {
        // Nothing is measured.
    }

    @Override
    public synchronized RateReport rates(Predicate<VmId> included) {
        return RateReport.NONE;
    }

    @Override
    public synchronized void receive(VmId peer, RateReport report) {
        // VMs that measure may run beside this one during a change of the setting.
    }
}
