package io.banyantally.upstream;

/** The answer of an engine as it comes. Closing it before the end cancels the generation. */
public interface AnswerStream extends AutoCloseable {

    /** Waits for the next chunk; the one with the end mark is the last that may be asked for. */
    AnswerChunk next() throws UpstreamException, InterruptedException;

    @Override
    void close();
}
