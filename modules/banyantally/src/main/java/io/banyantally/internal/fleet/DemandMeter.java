package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the tokens that callers of this VM request of each service. Thread-safe and cheap enough for every request.
 */
public final class DemandMeter {

    /** Longer prompts delay the streams of an engine that also decodes. */
    private static final int LONG_PROMPT_TOKENS = 4_000;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<ServiceName, Counts> counts = new ConcurrentHashMap<>();

    private static final class Counts {
        private final LongAdder prompt = new LongAdder();
        private final LongAdder longPrompt = new LongAdder();
        private final LongAdder output = new LongAdder();
    }

    /** Counts a request's prompt tokens that no prefix cache holds, refused requests included. */
    public void addPromptTokens(ServiceName service, int uncachedTokens) {
        Counts serviceCounts = countsOf(service);
        serviceCounts.prompt.add(uncachedTokens);
        if (uncachedTokens > LONG_PROMPT_TOKENS) {
            serviceCounts.longPrompt.add(uncachedTokens);
        }
    }

    /** Counts output tokens. */
    public void addOutputTokens(ServiceName service, int tokens) {
        countsOf(service).output.add(tokens);
    }

    private Counts countsOf(ServiceName service) {
        return counts.computeIfAbsent(service, unknown -> new Counts());
    }

    /** Returns the demand since the last call, which was {@code nanos} ago, and resets the counts. */
    Map<ServiceName, Demand> drain(long nanos) {
        Map<ServiceName, Demand> demands = new HashMap<>();
        double seconds = nanos / NANOS_PER_SECOND;
        counts.forEach((service, serviceCounts) -> {
            double prompt = serviceCounts.prompt.sumThenReset();
            double longPrompt = serviceCounts.longPrompt.sumThenReset();
            double output = serviceCounts.output.sumThenReset();
            double longPromptFraction = prompt <= 0 ? 0 : Math.min(1, longPrompt / prompt);
            demands.put(service, new Demand(prompt / seconds, output / seconds, longPromptFraction));
        });
        return demands;
    }
}
