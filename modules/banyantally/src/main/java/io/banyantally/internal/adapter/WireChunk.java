package io.banyantally.internal.adapter;

import io.banyantally.upstream.AnswerChunk;

/** One line of an engine's answer: a token, or the end mark. */
public record WireChunk(String exchange, int index, String text, boolean last, int promptTokens, int cachedTokens) {

    /** Returns the line's form of a chunk. */
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
