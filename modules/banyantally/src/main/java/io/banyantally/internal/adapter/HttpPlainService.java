package io.banyantally.internal.adapter;

import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.PlainService;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.ServiceCall;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.WrongAnswerException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Client of a plain service over HTTP. Each request opens its own connection, and its response must echo the exchange
 * id.
 */
public final class HttpPlainService implements PlainService {

    /** The header with the exchange id, in the request and in the response. */
    public static final String EXCHANGE_HEADER = "Exchange-Id";

    private static final Duration TIME_LIMIT = Duration.ofSeconds(30);

    /** The same limit as for the body of a caller's request. */
    private static final int MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;

    /** Hop-by-hop headers, and headers that could carry a caller's key. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "proxy-authorization",
            "proxy-authenticate",
            "cookie",
            "connection",
            "keep-alive",
            "host",
            "content-length",
            "transfer-encoding",
            "te",
            "trailer",
            "upgrade",
            "expect",
            "exchange-id");

    private final AdapterHttpClient client;
    private final InetSocketAddress address;
    private final Duration timeLimit;

    /** Creates a client of the service at {@code address}. */
    public HttpPlainService(AdapterHttpClient client, InetSocketAddress address) {
        this(client, address, TIME_LIMIT);
    }

    HttpPlainService(AdapterHttpClient client, InetSocketAddress address, Duration timeLimit) {
        this.client = client;
        this.address = address;
        this.timeLimit = timeLimit;
    }

    @Override
    public ServiceAnswer call(ServiceCall call) throws UpstreamException, InterruptedException {
        String exchange = call.exchange().toString();
        List<HeaderField> headers = new ArrayList<>(forwardedHeaders(call.headers()));
        headers.add(new HeaderField(EXCHANGE_HEADER, exchange));
        HttpCall httpCall =
                new HttpCall(address, call.method(), call.path(), headers, call.body(), true, timeLimit, () -> true);
        HttpReply reply = send(httpCall);
        if (!reply.header(EXCHANGE_HEADER).orElse("").equals(exchange)) {
            throw new WrongAnswerException(
                    httpCall + ": the response does not carry the exchange id " + exchange + " of the request");
        }
        return new ServiceAnswer(reply.status(), forwardedHeaders(reply.headers()), reply.body());
    }

    private HttpReply send(HttpCall httpCall) throws UpstreamException, InterruptedException {
        try {
            return client.send(httpCall, MAXIMUM_RESPONSE_BYTES);
        } catch (NothingSentException failure) {
            throw new NotSentException(httpCall + " was not sent", failure);
        } catch (ExchangeException failure) {
            throw new AnswerTruncatedException(httpCall + " got no complete response", failure);
        }
    }

    private static List<HeaderField> forwardedHeaders(List<HeaderField> headers) {
        return headers.stream()
                .filter(field -> !NOT_FORWARDED.contains(field.name().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
