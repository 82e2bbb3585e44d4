package io.banyantally.deployment;

import io.banyantally.model.AttemptId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What the headers of a caller's request state.
 *
 * @param attempt identifies this attempt of the caller; a retry has another id
 * @param timeout how long the caller waits for the response; empty if it does not state this
 * @param lastEventId the id of the last event that the caller already has
 * @param resumedAttempt the attempt that brought the first event of the stream that the caller takes up
 */
public record RequestMetadata(
        String attempt,
        Optional<Duration> timeout,
        Optional<String> key,
        Optional<PromptMetadata> prompt,
        OptionalLong lastEventId,
        Optional<AttemptId> resumedAttempt) {

    /** Returns whether the caller has events of the stream already and wants the rest. */
    public boolean isTakeUp() {
        return lastEventId.isPresent() || resumedAttempt.isPresent();
    }

    /** Omits the key, since the text may be logged. */
    @Override
    public String toString() {
        return "RequestMetadata[attempt=" + attempt + "]";
    }
}
