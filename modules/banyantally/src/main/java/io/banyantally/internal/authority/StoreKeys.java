package io.banyantally.internal.authority;

import io.banyantally.platform.StoreKey;

/** The two keys of a scope. */
final class StoreKeys {

    private StoreKeys() {}

    static StoreKey lease(Scope scope) {
        return new StoreKey("lease/" + scope);
    }

    static StoreKey record(Scope scope) {
        return new StoreKey("scope/" + scope);
    }
}
