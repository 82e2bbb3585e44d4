package io.banyantally.internal.adapter;

import io.banyantally.upstream.AnswerChunk;

/** One line of an engine's response: a token, or the last chunk. */
public record WireChunk(String exchange, int index, String text, boolean last, int promptTokens, int cachedTokens) {

    /** Converts a chunk to its JSON form. */
    public static WireChunk of(AnswerChunk chunk) {
        return new WireChunk(
                chunk.exchange().toString(),
                chunk.index(),
                chunk.text(),
                chunk.last(),
                chunk.promptTokens(),
                chunk.cachedTokens());
    }
}
