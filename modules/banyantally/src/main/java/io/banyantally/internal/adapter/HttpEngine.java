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

/** Client of an engine over HTTP; responses are newline-delimited JSON, one token per line. */
public final class HttpEngine implements Engine {

    /** The status of a request that the engine did not run. */
    public static final int NOT_RUN = 503;

    /** The status of an order with a lower fencing number than one that the engine has seen. */
    public static final int STALE_FENCING_NUMBER = 409;

    /** The default deadline of a caller's request; a longer wait would be useless. */
    private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration READ_TIMEOUT = Duration.ofSeconds(1);

    /** The time limit of an order in docs/design.md, section 4.14. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(3);

    private static final Duration TRANSFER_TIMEOUT = Duration.ofSeconds(10);
    private static final List<HeaderField> JSON = List.of(new HeaderField("Content-Type", "application/json"));
    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final AdapterHttpClient client;
    private final InetSocketAddress address;
    private final Duration streamIdleTimeout;

    /** Creates a client of the engine at {@code address}. */
    public HttpEngine(AdapterHttpClient client, InetSocketAddress address) {
        this(client, address, STREAM_IDLE_TIMEOUT);
    }

    HttpEngine(AdapterHttpClient client, InetSocketAddress address, Duration streamIdleTimeout) {
        this.client = client;
        this.address = address;
        this.streamIdleTimeout = streamIdleTimeout;
    }

    @Override
    public AnswerStream generate(GenerationRequest request) throws UpstreamException, InterruptedException {
        HttpCall call = HttpCall.write(address, "/generate", request, streamIdleTimeout);
        HttpExchange exchange;
        try {
            exchange = client.open(call);
        } catch (ExchangeException failure) {
            throw toUpstreamException(call, failure);
        }
        if (exchange.status() != 200) {
            exchange.close();
            throw refusal(call, exchange.status());
        }
        return new HttpAnswerStream(
                exchange, request.exchange(), request.firstIndex(), () -> cancelWithoutWaiting(request.exchange()));
    }

    private void cancelWithoutWaiting(ExchangeId exchange) {
        client.sendWithoutAnswer(HttpCall.query(address, "/cancel", exchange, READ_TIMEOUT));
    }

    @Override
    public void cancel(ExchangeId exchange) throws UpstreamException {
        send(HttpCall.query(address, "/cancel", exchange, READ_TIMEOUT));
    }

    @Override
    public LoadReport loadReport() throws UpstreamException {
        return sendAndDecode(HttpCall.read(address, "/load", READ_TIMEOUT), LoadReport.class);
    }

    @Override
    public List<CacheEvent> cacheEvents(long after) throws UpstreamException {
        HttpCall call = HttpCall.read(address, "/cache-events?after=" + after, READ_TIMEOUT);
        try {
            return WireFormat.decodeList(send(call).body(), CacheEvent.class);
        } catch (IOException failure) {
            throw new WrongAnswerException(call + ": the response is not valid", failure);
        }
    }

    @Override
    public void apply(EngineOrder order, SendPermission authority) throws UpstreamException {
        try (OrderConnection connection = OrderConnection.open(address, ORDER_TIMEOUT, MonotonicClock.SYSTEM)) {
            ServiceAnswer answer = connection.send("POST", "/orders", JSON, WireFormat.encode(order), authority);
            if (answer.status() < 200 || answer.status() >= 300) {
                throw refusal("order to " + address, answer.status());
            }
        }
    }

    @Override
    public EngineState state() throws UpstreamException {
        return sendAndDecode(HttpCall.read(address, "/state", READ_TIMEOUT), EngineState.class);
    }

    @Override
    public void transferCache(long prefixHash, Engine destination) throws UpstreamException {
        if (!(destination instanceof HttpEngine other)) {
            throw new IllegalArgumentException(
                    "destination " + destination + " is not an HTTP engine; use an engine" + " of the same connector");
        }
        String to = SocketAddresses.text(other.address);
        send(HttpCall.query(address, "/cache/transfer", new CacheTransferRequest(prefixHash, to), TRANSFER_TIMEOUT));
    }

    private <T> T sendAndDecode(HttpCall call, Class<T> type) throws UpstreamException {
        try {
            return WireFormat.decode(send(call).body(), type);
        } catch (IOException failure) {
            throw new WrongAnswerException(call + ": the response is not valid", failure);
        }
    }

    private HttpReply send(HttpCall call) throws UpstreamException {
        HttpReply reply;
        try {
            reply = client.send(call, MAXIMUM_RESPONSE_BYTES);
        } catch (ExchangeException failure) {
            throw toUpstreamException(call, failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new AnswerTruncatedException(call + " was interrupted", interrupted);
        }
        if (!reply.isOk()) {
            throw refusal(call, reply.status());
        }
        return reply;
    }

    private static UpstreamException toUpstreamException(HttpCall call, ExchangeException failure) {
        return switch (failure) {
            case NothingSentException notSent -> new NotSentException(call + " was not sent", notSent);
            case IncompleteResponseException incomplete ->
                new AnswerTruncatedException(call + " got no complete response", incomplete);
            case ForeignResponseException foreign ->
                new AnswerTruncatedException(call + " got the response to another request", foreign);
        };
    }

    private static UpstreamException refusal(Object call, int status) {
        return switch (status) {
            case NOT_RUN -> new UpstreamRefusedException(call + " was refused: the engine did not run it");
            case STALE_FENCING_NUMBER ->
                new StaleFencingNumberException(call + " was refused: the engine has seen a higher fencing number");
            default -> new AnswerTruncatedException(call + ": status " + status);
        };
    }
}
