package io.banyantally.internal.placement;

import io.banyantally.model.ServiceName;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * How fast the engines of each service prefill, as learned from the prompts that they have answered. The estimate is
 * the median of recent prompts, so that single slow engines, cold starts and lost packets do not move it.
 */
public final class PrefillRates {

    /** The estimate for a service of which nothing is known yet, in milliseconds a token. */
    static final double INITIAL_MILLIS_PER_TOKEN = 0.002;

    /** Prompts from which the estimate is taken. */
    private static final int SAMPLES = 32;

    /** With fewer prompts, the estimate of another VM is better than the own one. */
    private static final int SUFFICIENT_SAMPLES = 5;

    private final Map<ServiceName, Estimate> estimates = new HashMap<>();

    /** Creates rates of which nothing is known. */
    public PrefillRates() {}

    /** Returns the time that the engines of a service take for a token of a prompt, in milliseconds. */
    public synchronized double millisPerToken(ServiceName service) {
        Estimate estimate = estimates.get(service);
        return estimate == null ? INITIAL_MILLIS_PER_TOKEN : estimate.millisPerToken;
    }

    /**
     * Records a prompt.
     *
     * @param millisPerToken the time for each token of it and of the prompts before it, in milliseconds
     */
    public synchronized void recordPrefill(ServiceName service, double millisPerToken) {
        if (millisPerToken > 0) {
            estimates.computeIfAbsent(service, name -> new Estimate()).add(millisPerToken);
        }
    }

    /** Returns the estimates that rest on enough prompts of this VM. */
    public synchronized Map<ServiceName, Double> learned() {
        Map<ServiceName, Double> learned = new HashMap<>();
        estimates.forEach((service, estimate) -> {
            if (estimate.isSufficient()) {
                learned.put(service, estimate.millisPerToken);
            }
        });
        return learned;
    }

    /** Adopts what another VM has learned, unless this VM knows better. */
    public synchronized void adopt(ServiceName service, double millisPerToken) {
        Estimate estimate = estimates.computeIfAbsent(service, name -> new Estimate());
        if (!estimate.isSufficient() && millisPerToken > 0) {
            estimate.millisPerToken = millisPerToken;
        }
    }

    private static final class Estimate {
        private final Deque<Double> samples = new ArrayDeque<>();
        private double millisPerToken = INITIAL_MILLIS_PER_TOKEN;

        boolean isSufficient() {
            return samples.size() >= SUFFICIENT_SAMPLES;
        }

        void add(double sample) {
            samples.addLast(sample);
            if (samples.size() > SAMPLES) {
                samples.removeFirst();
            }
            if (isSufficient()) {
                List<Double> sorted = samples.stream().sorted().toList();
                millisPerToken = sorted.get(sorted.size() / 2);
            }
        }
    }
}
