package io.banyantally.standins.load;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.upstream.HeaderField;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Asks at the end of a run what became of the orders whose answers left it open. */
final class OutcomeQuestions {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final int MAXIMUM_ANSWER_BYTES = 4 << 20;
    private static final int FIRST_ERROR = 400;

    /** The type that the system gives for a key that nobody has claimed: the call was not sent. */
    private static final String NEVER_CLAIMED = "unknown_call";

    private final AdapterHttpClient client;
    private final AddressBook addresses;
    private final List<LoadAccount> accounts;

    OutcomeQuestions(AdapterHttpClient client, AddressBook addresses, List<LoadAccount> accounts) {
        this.client = client;
        this.addresses = addresses;
        this.accounts = accounts;
    }

    /** Returns the claims, with what was learnt about the open ones. */
    List<OrderClaim> ask(List<OrderClaim> claims) throws InterruptedException {
        List<OrderClaim> asked = new ArrayList<>();
        for (OrderClaim order : claims) {
            asked.add(order.isOpen() ? ask(order) : order);
        }
        return asked;
    }

    /** Asks with the key of each client account, since a claim does not tell whose order it was. */
    private OrderClaim ask(OrderClaim order) throws InterruptedException {
        OrderClaim.Claim later = OrderClaim.Claim.NOT_RUN;
        for (LoadAccount account : accounts) {
            OrderClaim.Claim answer = ask(order, account);
            if (answer != OrderClaim.Claim.NOT_RUN) {
                later = answer;
            }
        }
        return new OrderClaim(order.orderId(), order.service(), order.idempotencyKey(), order.claim(), later);
    }

    private OrderClaim.Claim ask(OrderClaim order, LoadAccount account) throws InterruptedException {
        HttpCall call = new HttpCall(
                addresses.next(),
                "GET",
                "/v1/calls/" + order.service() + "/" + order.idempotencyKey(),
                List.of(new HeaderField("Authorization", "Bearer " + account.key())),
                new byte[0],
                true,
                TIME_LIMIT,
                () -> true);
        try {
            HttpReply reply = client.send(call, MAXIMUM_ANSWER_BYTES);
            if (reply.status() < FIRST_ERROR) {
                return OrderClaim.Claim.RAN;
            }
            String type = ErrorAnswer.outcome(reply.status(), reply.body()).refusal();
            return type.equals(NEVER_CLAIMED) ? OrderClaim.Claim.NOT_RUN : OrderClaim.Claim.UNKNOWN;
        } catch (ExchangeException failure) {
            return OrderClaim.Claim.NO_ANSWER;
        }
    }
}
