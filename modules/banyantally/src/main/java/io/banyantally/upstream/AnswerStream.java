package io.banyantally.upstream;

/** The streamed answer of an engine. Closing it before the end cancels the generation. */
public interface AnswerStream extends AutoCloseable {

    /** Waits for the next chunk; must not be called again after the chunk with the end mark. */
    AnswerChunk next() throws UpstreamException, InterruptedException;

    @Override
    void close();
}
