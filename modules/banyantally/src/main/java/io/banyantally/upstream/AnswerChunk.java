package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;

/**
 * Part of an engine's answer; each chunk is one output token.
 *
 * @param index the chunk's position, rising by one
 * @param text the text of the token; empty in the last chunk
 * @param last the end mark; an answer without it is truncated
 * @param promptTokens the tokens of the prompt, counted by the engine; set in the last chunk
 * @param cachedTokens the tokens of the prompt that the prefix cache held; set in the last chunk
 */
public record AnswerChunk(
        ExchangeId exchange, int index, String text, boolean last, int promptTokens, int cachedTokens) {}
