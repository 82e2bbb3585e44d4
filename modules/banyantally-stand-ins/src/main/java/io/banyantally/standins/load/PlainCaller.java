package io.banyantally.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.internal.adapter.NothingSentException;
import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.upstream.HeaderField;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Sends calls to plain services and verifies that the answer belongs to the order. */
final class PlainCaller {

    private static final int MAXIMUM_ANSWER_BYTES = 4 << 20;
    private static final int FIRST_ERROR = 400;

    private final AdapterHttpClient client;
    private final Duration timeLimit;

    PlainCaller(AdapterHttpClient client, Duration timeLimit) {
        this.client = client;
        this.timeLimit = timeLimit;
    }

    Outcome call(InetSocketAddress address, PlannedCall planned) throws InterruptedException {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(
                new HeaderField("Authorization", "Bearer " + planned.account().key()));
        if (planned.isOrder()) {
            headers.add(new HeaderField("Idempotency-Key", planned.idempotencyKey()));
        }
        byte[] body = planned.isOrder() ? WireFormat.encode(new Body(planned.orderId())) : new byte[0];
        HttpCall call = new HttpCall(
                address,
                planned.method(),
                "/services/" + planned.service() + planned.path(),
                headers,
                body,
                true,
                timeLimit,
                () -> true);
        long sentAt = System.nanoTime();
        try {
            HttpReply reply = client.send(call, MAXIMUM_ANSWER_BYTES);
            if (reply.status() >= FIRST_ERROR) {
                return ErrorAnswer.outcome(reply.status(), reply.body());
            }
            boolean right = !planned.isOrder() || planned.orderId().equals(orderId(reply.body()));
            return new Outcome(
                    right ? Outcome.Kind.COMPLETE : Outcome.Kind.WRONG, "", System.nanoTime() - sentAt, 0, 0, 0);
        } catch (NothingSentException failure) {
            return Outcome.without(Outcome.Kind.NOT_CONNECTED);
        } catch (ExchangeException failure) {
            return Outcome.without(Outcome.Kind.CUT);
        }
    }

    private static String orderId(byte[] body) {
        try {
            return WireFormat.decode(body, JsonNode.class).path("orderId").asText("");
        } catch (IOException noJson) {
            return "";
        }
    }

    private record Body(String orderId) {}
}
