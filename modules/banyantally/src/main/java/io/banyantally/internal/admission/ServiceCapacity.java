package io.banyantally.internal.admission;

/**
 * The capacity of all upstreams of a service together, as known to this VM.
 *
 * @param prefillTokensPerSecond prompt tokens per second of all upstreams
 * @param upstreamPrefillTokensPerSecond prompt tokens per second of one upstream; bounds the time to first token
 *     of a single request
 * @param streams concurrent requests at which the target interval between tokens is still met
 * @param outputTokensPerSecond output tokens per second with all streams in use
 */
public record ServiceCapacity(
        double prefillTokensPerSecond,
        double upstreamPrefillTokensPerSecond,
        double streams,
        double outputTokensPerSecond) {
    /** Rejects values that are not above 0, since waiting times are computed by dividing by them. */
    public ServiceCapacity {
        if (!(prefillTokensPerSecond > 0)
                || !(upstreamPrefillTokensPerSecond > 0)
                || !(streams > 0)
                || !(outputTokensPerSecond > 0)) {
            throw new IllegalArgumentException("service capacity is not valid: prefill " + prefillTokensPerSecond
                    + " and " + upstreamPrefillTokensPerSecond + " tokens/s, streams " + streams + ", output "
                    + outputTokensPerSecond + " tokens/s; use numbers above 0");
        }
    }
}
