package io.banyantally.internal.http;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.idempotency.CallIdentity;
import io.banyantally.internal.idempotency.CallLedger;
import io.banyantally.model.ServiceName;
import java.io.IOException;

/** Returns the outcome of an earlier call at {@code /v1/calls/{service}/{idempotency key}}. */
final class CallsEndpoint implements Endpoint {

    static final String PREFIX = "/v1/calls/";

    private final KeyCheck keys;
    private final CallLedger ledger;

    CallsEndpoint(KeyCheck keys, CallLedger ledger) {
        this.keys = keys;
        this.ledger = ledger;
    }

    @Override
    public void handle(HttpExchange exchange) throws RequestFailedException, IOException, InterruptedException {
        ClientAccountParameters account = keys.check(exchange.authorization());
        String rest = exchange.path().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        if (slash < 1) {
            throw RequestFailedException.notRun(
                    ErrorType.INVALID_REQUEST,
                    "the path does not name a call; use " + PREFIX + "{service}/{idempotency key}");
        }
        CallIdentity identity =
                CallOutcomes.identity(account.account(), service(rest.substring(0, slash)), rest.substring(slash + 1));
        ServiceAnswerWriter.write(exchange, CallOutcomes.answerOf(ledger.find(identity), identity));
    }

    private static ServiceName service(String name) throws RequestFailedException {
        try {
            return ServiceName.plain(name);
        } catch (IllegalArgumentException invalid) {
            throw RequestFailedException.notRun(ErrorType.UNKNOWN_SERVICE, "no plain service has this name");
        }
    }
}
