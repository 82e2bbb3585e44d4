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

/** Reads an engine's response line by line and verifies the exchange id, index and last flag of each chunk. */
final class HttpAnswerStream implements AnswerStream {

    /** A correct engine ends the HTTP response together with its last chunk. */
    private static final Duration END_TIMEOUT = Duration.ofMillis(200);

    private final HttpExchange httpExchange;
    private final LineReader lines;
    private final ExchangeId exchange;
    private final String exchangeText;
    private final Runnable cancel;
    private int expectedIndex;
    private boolean ended;
    private boolean closed;

    HttpAnswerStream(HttpExchange httpExchange, ExchangeId exchange, int firstIndex, Runnable cancel) {
        this.httpExchange = httpExchange;
        this.lines = new LineReader(httpExchange.body());
        this.exchange = exchange;
        this.exchangeText = exchange.toString();
        this.expectedIndex = firstIndex;
        this.cancel = cancel;
    }

    @Override
    public AnswerChunk next() throws UpstreamException, InterruptedException {
        if (ended) {
            throw new IllegalStateException(
                    "the response of exchange " + exchange + " has ended; do not call next() again");
        }
        WireChunk chunk = read();
        if (!exchangeText.equals(chunk.exchange())) {
            throw new WrongAnswerException(
                    "received a chunk of exchange " + chunk.exchange() + " in the response of " + exchange);
        }
        if (chunk.index() != expectedIndex) {
            throw new WrongAnswerException("received chunk " + chunk.index() + " of exchange " + exchange
                    + "; expected chunk " + expectedIndex);
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
                        "exchange " + exchange + " ended without a last chunk; expected chunk " + expectedIndex);
            }
        } catch (InterruptedIOException interrupted) {
            throw HttpExchange.toInterruptedException(interrupted);
        } catch (IOException failure) {
            throw new AnswerTruncatedException(
                    "exchange " + exchange + " was interrupted before chunk " + expectedIndex, failure);
        }
        try {
            WireChunk chunk = WireFormat.decode(lines.buffer(), lines.offset(), lines.length(), WireChunk.class);
            if (chunk.text() == null) {
                throw new WrongAnswerException("chunk " + expectedIndex + " of exchange " + exchange + " has no text");
            }
            return chunk;
        } catch (IOException failure) {
            throw new WrongAnswerException(
                    "chunk " + expectedIndex + " of exchange " + exchange + " is not valid JSON for a chunk", failure);
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
                httpExchange.finish(END_TIMEOUT);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        httpExchange.close();
        if (!ended) {
            cancel.run();
        }
    }
}
