package io.banyantally.deployment;

import java.util.List;

/**
 * What a caller says of its prompt.
 *
 * @param parts the parts of the prompt in order; the last belongs to the request or its session
 */
public record PromptMetadata(int promptTokens, int maximumOutputTokens, List<PromptPart> parts) {

    /** Copies the parts. */
    public PromptMetadata {
        parts = List.copyOf(parts);
    }
}
