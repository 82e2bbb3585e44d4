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

/** A plain service over HTTP. Every call opens a connection of its own, and the service repeats the exchange id. */
public final class HttpPlainService implements PlainService {

    /** The header with the exchange id, in the call and in the answer. */
    public static final String EXCHANGE_HEADER = "Exchange-Id";

    private static final Duration TIME_LIMIT = Duration.ofSeconds(30);

    /** As long as the largest body that a caller may send. */
    private static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

    /** Headers that belong to one connection, and those that could carry a caller's key. */
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

    /** Creates an adapter to the service at {@code address}. */
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
        List<HeaderField> headers = new ArrayList<>(forwarded(call.headers()));
        headers.add(new HeaderField(EXCHANGE_HEADER, exchange));
        HttpCall http =
                new HttpCall(address, call.method(), call.path(), headers, call.body(), true, timeLimit, () -> true);
        HttpReply reply = send(http);
        if (!reply.header(EXCHANGE_HEADER).orElse("").equals(exchange)) {
            throw new WrongAnswerException(
                    http + ": the answer does not carry the exchange id " + exchange + " of the call");
        }
        return new ServiceAnswer(reply.status(), forwarded(reply.headers()), reply.body());
    }

    private HttpReply send(HttpCall http) throws UpstreamException, InterruptedException {
        try {
            return client.send(http, MAXIMUM_ANSWER_BYTES);
        } catch (NothingSentException failure) {
            throw new NotSentException(http + " was not sent", failure);
        } catch (ExchangeException failure) {
            throw new AnswerTruncatedException(http + " has no whole answer", failure);
        }
    }

    private static List<HeaderField> forwarded(List<HeaderField> headers) {
        return headers.stream()
                .filter(field -> !NOT_FORWARDED.contains(field.name().toLowerCase(Locale.ROOT)))
                .toList();
    }
}
