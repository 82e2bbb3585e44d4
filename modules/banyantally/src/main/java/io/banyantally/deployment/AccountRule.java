package io.banyantally.deployment;

import io.banyantally.model.ClientAccountId;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One client account and the keys that its callers may present.
 *
 * @param priority the priority of the requests of the account, 0 is the highest; overrides that of the route
 * @param rateLimit the rate limit of the account over all VMs; empty if it has none
 */
public record AccountRule(
        ClientAccountId account, Set<String> keys, OptionalInt priority, Optional<AccountRateLimit> rateLimit) {

    /** Creates the rule of an account without a rate limit. */
    public AccountRule(ClientAccountId account, Set<String> keys, OptionalInt priority) {
        this(account, keys, priority, Optional.empty());
    }

    /** Copies the keys. */
    public AccountRule {
        keys = Set.copyOf(keys);
    }

    /** Omits the keys, since the text may be logged. */
    @Override
    public String toString() {
        return "AccountRule[account=" + account + ", keys=" + keys.size() + "]";
    }
}
