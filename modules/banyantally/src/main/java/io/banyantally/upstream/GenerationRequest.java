package io.banyantally.upstream;

import io.banyantally.model.AdapterName;
import io.banyantally.model.ExchangeId;
import io.banyantally.model.ModelName;
import java.util.Optional;

/**
 * One generation for an engine. It carries no key and no client account.
 *
 * @param maximumOutputTokens where the engine stops at the latest
 * @param priority higher goes first
 * @param resumeText the text that the caller already has; the engine goes on after it
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

    /** Rejects limits that no engine can honour. */
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
