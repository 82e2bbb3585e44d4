package io.banyantally.deployment;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request say.
 *
 * @param attempt identifies this attempt of the caller; a repeat has another
 * @param timeout how long the caller waits; empty if it does not say
 * @param lastEvent the last event that the caller already has
 */
public record RequestMetadata(
        String attempt,
        Optional<Duration> timeout,
        Optional<String> key,
        Optional<PromptMetadata> prompt,
        OptionalLong lastEvent) {

    /** Leaves the key out, since the text may reach a log. */
    @Override
    public String toString() {
        return "RequestFacts[attempt=" + attempt + "]";
    }
}
