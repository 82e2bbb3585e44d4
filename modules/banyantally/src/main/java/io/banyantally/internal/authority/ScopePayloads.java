package io.banyantally.internal.authority;

import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.VersionedValue;
import java.util.Optional;

/** Reads what the owner of another scope wrote to its record. */
public final class ScopePayloads {

    private final KeyValueStore store;

    /** Creates a reader. */
    public ScopePayloads(KeyValueStore store) {
        this.store = store;
    }

    /** Returns the payload; empty if the scope never had an owner. */
    public Optional<byte[]> payload(Scope scope) throws StoreException {
        Optional<VersionedValue> present = store.get(StoreKeys.record(scope));
        return present.isEmpty()
                ? Optional.empty()
                : Optional.of(ScopeRecord.decode(present.get().value()).payload());
    }
}
