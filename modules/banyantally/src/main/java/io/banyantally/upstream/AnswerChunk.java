package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;

/**
 * A part of an engine's answer: one output token, or the end mark.
 *
 * @param index the position of the chunk, increasing by one
 * @param text the text of the token; empty in the last chunk
 * @param last whether this is the end mark; an answer without it is truncated
 * @param promptTokens the prompt tokens as counted by the engine; set in the last chunk
 * @param cachedTokens the prompt tokens found in the prefix cache; set in the last chunk
 */
public record AnswerChunk(
        ExchangeId exchange, int index, String text, boolean last, int promptTokens, int cachedTokens) {}
