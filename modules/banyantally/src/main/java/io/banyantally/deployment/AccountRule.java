package io.banyantally.deployment;

import io.banyantally.model.ClientAccountId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One client account and the keys that its callers may present.
 *
 * @param priority the priority of the requests of the account, 0 is the highest; overrides that of the route
 */
public record AccountRule(ClientAccountId account, Set<String> keys, OptionalInt priority) {

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
