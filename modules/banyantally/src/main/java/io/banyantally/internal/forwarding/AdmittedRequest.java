package io.banyantally.internal.forwarding;

import io.banyantally.deployment.AccountRule;
import io.banyantally.deployment.RequestMetadata;
import io.banyantally.deployment.RouteRule;
import io.banyantally.deployment.ServiceRule;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ClientAccountId;
import io.banyantally.upstream.HeaderField;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * A request that passed all checks.
 *
 * @param deadline the monotonic time at which it must have an answer, in nanoseconds
 */
record AdmittedRequest(
        RouteRule route,
        ServiceRule service,
        RequestMetadata facts,
        Optional<AccountRule> accountRule,
        List<HeaderField> headers,
        byte[] body,
        long deadline) {

    /** Room for the request line and for headers that the limit of the configuration does not count. */
    static final int HEAD_MARGIN_BYTES = 1024;

    /** The rank of engine requests that is sent when neither route nor account sets one. */
    private static final int LOWEST_URGENCY = 9;

    /** Returns the time that the request has left; negative after its deadline. */
    Duration remaining(MonotonicClock clock) {
        return Duration.ofNanos(deadline - clock.nanoTime());
    }

    Optional<ClientAccountId> account() {
        return accountRule.map(AccountRule::account);
    }

    /** Returns the rank among the requests of an engine; empty for other services. */
    OptionalInt urgency() {
        if (service.engine().isEmpty()) {
            return OptionalInt.empty();
        }
        int rank = accountRule
                .map(AccountRule::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
        return OptionalInt.of(Math.clamp(rank, 0, LOWEST_URGENCY));
    }
}
