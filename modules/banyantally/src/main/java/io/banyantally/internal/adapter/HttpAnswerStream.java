package io.banyantally.internal.adapter;

import io.banyantally.model.ExchangeId;
import io.banyantally.upstream.AnswerChunk;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.WrongAnswerException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;

/** Reads an engine's answer line by line and verifies exchange id, index and end mark of each chunk. */
final class HttpAnswerStream implements AnswerStream {

    /** The end of the HTTP answer comes together with the end mark, unless the engine is broken. */
    private static final Duration END_LIMIT = Duration.ofMillis(200);

    private final HttpExchange http;
    private final LineReader lines;
    private final ExchangeId exchange;
    private final String exchangeText;
    private final Runnable cancel;
    private int expectedIndex;
    private boolean ended;
    private boolean closed;

    HttpAnswerStream(HttpExchange http, ExchangeId exchange, int firstIndex, Runnable cancel) {
        this.http = http;
        this.lines = new LineReader(http.body());
        this.exchange = exchange;
        this.exchangeText = exchange.toString();
        this.expectedIndex = firstIndex;
        this.cancel = cancel;
    }

    @Override
    public AnswerChunk next() throws UpstreamException, InterruptedException {
        if (ended) {
            throw new IllegalStateException("the answer of exchange " + exchange + " has ended; do not ask for more");
        }
        WireChunk chunk = read();
        if (!exchangeText.equals(chunk.exchange())) {
            throw new WrongAnswerException(
                    "a chunk of exchange " + chunk.exchange() + " came in the answer of " + exchange);
        }
        if (chunk.index() != expectedIndex) {
            throw new WrongAnswerException(
                    "chunk " + chunk.index() + " of exchange " + exchange + " came instead of chunk " + expectedIndex);
        }
        expectedIndex++;
        if (chunk.last()) {
            ended = true;
        }
        return new AnswerChunk(
                exchange, chunk.index(), chunk.text(), chunk.last(), chunk.promptTokens(), chunk.cachedTokens());
    }

    private WireChunk read() throws UpstreamException, InterruptedException {
        try {
            if (!lines.advance()) {
                throw new AnswerTruncatedException(
                        "exchange " + exchange + " ended without the end mark before chunk " + expectedIndex);
            }
        } catch (InterruptedIOException interrupted) {
            throw HttpExchange.interruption(interrupted);
        } catch (IOException failure) {
            throw new AnswerTruncatedException(
                    "exchange " + exchange + " was cut before chunk " + expectedIndex, failure);
        }
        try {
            WireChunk chunk = WireFormat.decode(lines.buffer(), lines.offset(), lines.length(), WireChunk.class);
            if (chunk.text() == null) {
                throw new WrongAnswerException("chunk " + expectedIndex + " of exchange " + exchange + " has no text");
            }
            return chunk;
        } catch (IOException failure) {
            throw new WrongAnswerException(
                    "chunk " + expectedIndex + " of exchange " + exchange + " is not valid", failure);
        }
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (ended && lines.isDrained()) {
            try {
                http.finish(END_LIMIT);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        http.close();
        if (!ended) {
            cancel.run();
        }
    }
}
