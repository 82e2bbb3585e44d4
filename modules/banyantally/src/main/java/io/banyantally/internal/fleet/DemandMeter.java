package io.banyantally.internal.fleet;

import io.banyantally.model.ServiceName;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the tokens that this VM's callers ask of each service. Safe to call for every request. */
public final class DemandMeter {

    /** Longer prompts hold up the streams of an engine that also decodes. */
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
        Counts present = countsOf(service);
        present.prompt.add(uncachedTokens);
        if (uncachedTokens > LONG_PROMPT_TOKENS) {
            present.longPrompt.add(uncachedTokens);
        }
    }

    /** Counts output tokens. */
    public void addOutputTokens(ServiceName service, int tokens) {
        countsOf(service).output.add(tokens);
    }

    private Counts countsOf(ServiceName service) {
        return counts.computeIfAbsent(service, unknown -> new Counts());
    }

    /** Returns the demand since the last call. */
    Map<ServiceName, Demand> take(long nanos) {
        Map<ServiceName, Demand> demands = new HashMap<>();
        double seconds = nanos / NANOS_PER_SECOND;
        counts.forEach((service, present) -> {
            double prompt = present.prompt.sumThenReset();
            double longPrompt = present.longPrompt.sumThenReset();
            double output = present.output.sumThenReset();
            double longPart = prompt <= 0 ? 0 : Math.min(1, longPrompt / prompt);
            demands.put(service, new Demand(prompt / seconds, output / seconds, longPart));
        });
        return demands;
    }
}
