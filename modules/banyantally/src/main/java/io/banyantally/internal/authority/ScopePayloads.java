package io.banyantally.internal.authority;

import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.VersionedValue;
import java.util.Optional;

/** Reads the payloads of scope records, also of scopes that this process does not own. */
public final class ScopePayloads {

    private final KeyValueStore store;

    /** Creates a reader of the records in {@code store}. */
    public ScopePayloads(KeyValueStore store) {
        this.store = store;
    }

    /** Returns the payload of the scope's record; empty if the scope never had an owner. */
    public Optional<byte[]> payload(Scope scope) throws StoreException {
        Optional<VersionedValue> stored = store.get(StoreKeys.record(scope));
        return stored.isEmpty()
                ? Optional.empty()
                : Optional.of(ScopeRecord.decode(stored.get().value()).payload());
    }
}
