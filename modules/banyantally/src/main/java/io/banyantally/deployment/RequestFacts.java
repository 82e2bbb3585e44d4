package io.banyantally.deployment;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param attempt identifies this attempt of the caller; a repeat has another
 * @param patience how long the caller waits; empty if it does not say
 * @param lastEventId the last event that the caller already has
 */
public record RequestFacts(
        String attempt,
        Optional<Duration> patience,
        Optional<String> key,
        Optional<PromptFacts> prompt,
        OptionalLong lastEventId) {

    /** Leaves the key out, since the text may reach a log. */
    @Override
    public String toString() {
        return "RequestFacts[attempt=" + attempt + "]";
    }
}
