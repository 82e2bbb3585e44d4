package io.banyantally.deployment;

import io.banyantally.model.ClientAccountId;
import java.util.OptionalInt;
import java.util.Set;

/**
 * One client account and the keys that its callers may present.
 *
 * @param priority the rank of the account's requests; goes before the rank of the route
 */
public record AccountRule(ClientAccountId account, Set<String> keys, OptionalInt priority) {

    /** Copies the keys. */
    public AccountRule {
        keys = Set.copyOf(keys);
    }

    /** Leaves the keys out, since the text may reach a log. */
    @Override
    public String toString() {
        return "AccountRule[account=" + account + ", keys=" + keys.size() + "]";
    }
}
