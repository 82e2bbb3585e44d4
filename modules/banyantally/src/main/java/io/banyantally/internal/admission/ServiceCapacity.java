package io.banyantally.internal.admission;

/**
 * What all upstreams of a service can do together, as this VM knows it.
 *
 * @param prefillTokensPerSecond prompt tokens a second, over all upstreams
 * @param upstreamPrefillTokensPerSecond prompt tokens a second of one upstream, for the first token of a single request
 * @param streams requests that may run at once with the token interval kept
 * @param outputTokensPerSecond output tokens a second with all streams in use
 */
public record ServiceCapacity(
        double prefillTokensPerSecond,
        double upstreamPrefillTokensPerSecond,
        double streams,
        double outputTokensPerSecond) {
    /** Rejects numbers that are not above 0, with which no wait could be predicted. */
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
