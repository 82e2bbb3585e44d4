package io.banyantally.internal.adapter;

import io.banyantally.internal.net.SocketAddresses;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ExchangeId;
import io.banyantally.upstream.AnswerStream;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.CacheEvent;
import io.banyantally.upstream.Engine;
import io.banyantally.upstream.EngineOrder;
import io.banyantally.upstream.EngineState;
import io.banyantally.upstream.GenerationRequest;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.LoadReport;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.SendPermission;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.StaleFencingNumberException;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import io.banyantally.upstream.WrongAnswerException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/** An engine over HTTP; answers come as newline-delimited JSON, one token a line. */
public final class HttpEngine implements Engine {

    /** Status of an engine that says that it did not run a request. */
    public static final int NOT_RUN = 503;

    /** Status of an engine that has seen a higher fencing number. */
    public static final int STALE_FENCING_NUMBER = 409;

    /** The default deadline of a request: a longer silence helps no caller. */
    private static final Duration LONGEST_SILENCE = Duration.ofSeconds(30);

    private static final Duration READ_LIMIT = Duration.ofSeconds(1);

    /** The longest order of docs/design.md, section 4.14. */
    private static final Duration ORDER_LIMIT = Duration.ofSeconds(3);

    private static final Duration TRANSFER_LIMIT = Duration.ofSeconds(10);
    private static final List<HeaderField> JSON = List.of(new HeaderField("Content-Type", "application/json"));
    private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

    private final AdapterHttpClient client;
    private final InetSocketAddress address;
    private final Duration longestSilence;

    /** Creates an adapter to the engine at {@code address}. */
    public HttpEngine(AdapterHttpClient client, InetSocketAddress address) {
        this(client, address, LONGEST_SILENCE);
    }

    HttpEngine(AdapterHttpClient client, InetSocketAddress address, Duration longestSilence) {
        this.client = client;
        this.address = address;
        this.longestSilence = longestSilence;
    }

    @Override
    public AnswerStream generate(GenerationRequest request) throws UpstreamException, InterruptedException {
        HttpCall call = HttpCall.query(address, "/generate", request, longestSilence);
        HttpExchange exchange;
        try {
            exchange = client.open(call);
        } catch (ExchangeException failure) {
            throw mapped(call, failure);
        }
        if (exchange.status() != 200) {
            exchange.close();
            throw refusal(call, exchange.status());
        }
        return new HttpAnswerStream(
                exchange, request.exchange(), request.firstIndex(), () -> cancelWithoutWaiting(request.exchange()));
    }

    private void cancelWithoutWaiting(ExchangeId exchange) {
        client.sendWithoutAnswer(HttpCall.query(address, "/cancel", exchange, READ_LIMIT));
    }

    @Override
    public void cancel(ExchangeId exchange) throws UpstreamException {
        whole(HttpCall.query(address, "/cancel", exchange, READ_LIMIT));
    }

    @Override
    public LoadReport loadReport() throws UpstreamException {
        return decoded(HttpCall.read(address, "/load", READ_LIMIT), LoadReport.class);
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) throws UpstreamException {
        HttpCall call = HttpCall.read(address, "/cache-events?after=" + after, READ_LIMIT);
        try {
            return WireFormat.decodeList(whole(call).body(), CacheEvent.class);
        } catch (IOException failure) {
            throw new WrongAnswerException(call + ": the answer is not valid", failure);
        }
    }

    @Override
    public void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
        try (OrderConnection connection = OrderConnection.open(address, ORDER_LIMIT, MonotonicClock.SYSTEM)) {
            ServiceAnswer answer = connection.send("POST", "/orders", JSON, WireFormat.encode(order), authority);
            if (answer.status() < 200 || answer.status() >= 300) {
                throw refusal("order to " + address, answer.status());
            }
        }
    }

    @Override
    public EngineState state() throws UpstreamException {
        return decoded(HttpCall.read(address, "/state", READ_LIMIT), EngineState.class);
    }

    @Override
    public void transferCache(long prefixHash, Engine destination) throws UpstreamException {
        if (!(destination instanceof HttpEngine other)) {
            throw new IllegalArgumentException("destination " + destination + " is not reached over HTTP; use an engine"
                    + " of the same connector");
        }
        String to = SocketAddresses.text(other.address);
        whole(HttpCall.query(address, "/cache/transfer", new CacheTransferRequest(prefixHash, to), TRANSFER_LIMIT));
    }

    private <T> T decoded(HttpCall call, Class<T> type) throws UpstreamException {
        try {
            return WireFormat.decode(whole(call).body(), type);
        } catch (IOException failure) {
            throw new WrongAnswerException(call + ": the answer is not valid", failure);
        }
    }

    private HttpReply whole(HttpCall call) throws UpstreamException {
        HttpReply reply;
        try {
            reply = client.send(call, MAXIMUM_ANSWER_BYTES);
        } catch (ExchangeException failure) {
            throw mapped(call, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AnswerTruncatedException(call + " was interrupted", interrupted);
        }
        if (!reply.isOk()) {
            throw refusal(call, reply.status());
        }
        return reply;
    }

    private static UpstreamException mapped(HttpCall call, ExchangeException failure) {
        return switch (failure) {
            case NothingSentException nothing -> new NotSentException(call + " was not sent", nothing);
            case NoWholeReplyException cut -> new AnswerTruncatedException(call + " has no whole answer", cut);
        };
    }

    private static UpstreamException refusal(Object call, int status) {
        return switch (status) {
            case NOT_RUN -> new UpstreamRefusedException(call + " was refused as not run");
            case STALE_FENCING_NUMBER ->
                new StaleFencingNumberException(call + " was refused: the engine has seen a higher fencing number");
            default -> new AnswerTruncatedException(call + ": status " + status);
        };
    }
}
