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
 * @param deadlineNanos the monotonic time by which it must have a response, in nanoseconds
 */
record AdmittedRequest(
        RouteRule route,
        ServiceRule service,
        RequestMetadata metadata,
        Optional<AccountRule> accountRule,
        List<HeaderField> headers,
        byte[] body,
        long deadlineNanos) {

    /** Allowance for the request line and for headers that the configured limit does not count. */
    static final int HEADER_MARGIN_BYTES = 1024;

    /** Lowest priority of engine requests, sent when neither route nor account sets one; 0 is the highest. */
    private static final int LOWEST_ENGINE_PRIORITY = 9;

    /** Returns the time that the request has left; negative after its deadline. */
    Duration remaining(MonotonicClock clock) {
        return Duration.ofNanos(deadlineNanos - clock.nanoTime());
    }

    Optional<ClientAccountId> account() {
        return accountRule.map(AccountRule::account);
    }

    /** Returns the priority among the requests of an engine; empty for other services. */
    OptionalInt enginePriority() {
        if (service.engine().isEmpty()) {
            return OptionalInt.empty();
        }
        int priority = accountRule
                .map(AccountRule::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
        return OptionalInt.of(Math.clamp(priority, 0, LOWEST_ENGINE_PRIORITY));
    }
}
