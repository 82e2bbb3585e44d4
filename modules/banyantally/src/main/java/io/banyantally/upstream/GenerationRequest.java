package io.banyantally.upstream;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.ModelName;
import java.util.Optional;

/**
 * A request to an engine for one generation. It contains no API key and no client account.
 *
 * @param maximumOutputTokens the number of output tokens after which the engine stops
 * @param priority requests with a higher value are served first
 * @param resumeText the output that the caller already has; the engine continues after it
 * @param firstIndex the index of the first chunk that the engine sends
 */
public record GenerationRequest(
        ExchangeId exchange,
        ModelName model,
        Optional<AdapterName> adapter,
        String prompt,
        int maximumOutputTokens,
        int priority,
        String resumeText,
        int firstIndex) {

    /** Checks that the token limit is at least 1 and the first index at least 0. */
    public GenerationRequest {
        if (maximumOutputTokens < 1) {
            throw new IllegalArgumentException(
                    "maximum output tokens " + maximumOutputTokens + " is too small; use 1 or more");
        }
        if (firstIndex < 0) {
            throw new IllegalArgumentException("first index " + firstIndex + " is negative; use 0 or more");
        }
    }
}
