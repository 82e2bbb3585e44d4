package io.banyantally.internal.authority;

import io.banyantally.platform.StoreKey;

/** The keys of a scope in the key-value service: its lease and its record. */
final class StoreKeys {

    private StoreKeys() {}

    static StoreKey lease(Scope scope) {
        return new StoreKey("lease/" + scope);
    }

    static StoreKey record(Scope scope) {
        return new StoreKey("scope/" + scope);
    }
}
