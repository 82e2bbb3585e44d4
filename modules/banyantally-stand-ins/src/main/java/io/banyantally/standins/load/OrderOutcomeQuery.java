package io.banyantally.standins.load;

import io.banyantally.internal.adapter.AdapterHttpClient;
import io.banyantally.internal.adapter.ExchangeException;
import io.banyantally.internal.adapter.HttpCall;
import io.banyantally.internal.adapter.HttpReply;
import io.banyantally.upstream.HeaderField;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Queries, at the end of a run, the outcome of the orders whose answers did not state it. */
final class OrderOutcomeQuery {

    private static final Duration TIME_LIMIT = Duration.ofSeconds(5);
    private static final int MAXIMUM_ANSWER_BYTES = 4 << 20;
    private static final int FIRST_ERROR = 400;

    /** The error type for an idempotency key that is not recorded: the call was not sent. */
    private static final String UNKNOWN_CALL = "unknown_call";

    private final AdapterHttpClient client;
    private final EntryAddressPool addresses;
    private final List<LoadAccount> accounts;

    OrderOutcomeQuery(AdapterHttpClient client, EntryAddressPool addresses, List<LoadAccount> accounts) {
        this.client = client;
        this.addresses = addresses;
        this.accounts = accounts;
    }

    /** Returns the claims, with the queried outcomes of the uncertain ones. */
    List<OrderClaim> query(List<OrderClaim> claims) throws InterruptedException {
        List<OrderClaim> queried = new ArrayList<>();
        for (OrderClaim order : claims) {
            queried.add(order.isOutcomeUnknown() ? query(order) : order);
        }
        return queried;
    }

    /** Queries with the API key of each client account, since a claim does not name its account. */
    private OrderClaim query(OrderClaim order) throws InterruptedException {
        OrderClaim.Claim later = OrderClaim.Claim.NOT_RUN;
        for (LoadAccount account : accounts) {
            OrderClaim.Claim answer = query(order, account);
            if (answer != OrderClaim.Claim.NOT_RUN) {
                later = answer;
            }
        }
        return new OrderClaim(order.orderId(), order.service(), order.idempotencyKey(), order.claim(), later);
    }

    private OrderClaim.Claim query(OrderClaim order, LoadAccount account) throws InterruptedException {
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
            return type.equals(UNKNOWN_CALL) ? OrderClaim.Claim.NOT_RUN : OrderClaim.Claim.UNKNOWN;
        } catch (ExchangeException failure) {
            return OrderClaim.Claim.NO_ANSWER;
        }
    }
}
