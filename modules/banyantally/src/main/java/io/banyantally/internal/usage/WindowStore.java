package io.banyantally.internal.usage;

import io.banyantally.internal.peer.MessagePackCodec;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Reads and writes the windows of one bucket. */
final class WindowStore {

    /** Enough for the previous window and the records that current tombstones point to. */
    private static final int CACHED_RECORDS = 16;

    private static final MessagePackCodec<OpenWindow> OPEN = MessagePackCodec.of(OpenWindow.class);

    private final KeyValueStore store;
    private final int bucket;
    private final Map<Long, SealedWindow> cache = new LinkedHashMap<>(CACHED_RECORDS, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, SealedWindow> eldest) {
            return size() > CACHED_RECORDS;
        }
    };

    WindowStore(KeyValueStore store, int bucket) {
        this.store = store;
        this.bucket = bucket;
    }

    private StoreKey openKey() {
        return new StoreKey("usage/" + bucket + "/open");
    }

    private StoreKey sealedKey(long window) {
        return new StoreKey("usage/" + bucket + "/" + window);
    }

    /** Reads the open window; empty if no window was ever opened. */
    Optional<StoredOpenWindow> readOpen() throws StoreException {
        Optional<VersionedValue> stored = store.get(openKey());
        if (stored.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new StoredOpenWindow(
                    OPEN.decode(stored.get().value()), stored.get().revision()));
        } catch (PeerException malformed) {
            throw new StoreUnavailableException("the record at " + openKey() + " cannot be read", malformed);
        }
    }

    /** Writes the open window where it still has the revision {@code expected}. */
    StoredOpenWindow writeOpen(OpenWindow open, StoreRevision expected) throws StoreException {
        return new StoredOpenWindow(open, store.compareAndSwap(openKey(), expected, OPEN.encode(open)));
    }

    /** Reads a sealed window; empty if it is not sealed. */
    Optional<SealedWindow> readSealed(long window) throws StoreException {
        if (window == 0) {
            return Optional.of(SealedWindow.NONE);
        }
        SealedWindow cached = cache.get(window);
        if (cached != null) {
            return Optional.of(cached);
        }
        Optional<VersionedValue> stored = store.get(sealedKey(window));
        if (stored.isEmpty()) {
            return Optional.empty();
        }
        try {
            SealedWindow sealed = SealedWindowCodec.decode(stored.get().value());
            cache.put(window, sealed);
            return Optional.of(sealed);
        } catch (PeerException malformed) {
            throw new StoreUnavailableException("the record at " + sealedKey(window) + " cannot be read", malformed);
        }
    }

    /** Reads a window that must have been sealed; a missing record is a {@link StoreUnavailableException}. */
    SealedWindow requireSealed(long window) throws StoreException {
        return readSealed(window)
                .orElseThrow(() -> new StoreUnavailableException("there is no record at " + sealedKey(window)));
    }

    /**
     * Writes a sealed window if the store has none yet. Later steps use the record that is then in the store, whichever
     * owner wrote it.
     *
     * @throws StoreException if it is not known whether the store has a record
     */
    void writeSealed(SealedWindow sealed) throws StoreException {
        try {
            store.compareAndSwap(sealedKey(sealed.window()), StoreRevision.ABSENT, SealedWindowCodec.encode(sealed));
            cache.put(sealed.window(), sealed);
        } catch (RevisionConflictException written) {
            requireSealed(sealed.window());
        } catch (OutcomeUnknownException unknown) {
            // If the write is still in flight, the next attempt fails with a revision conflict.
            requireSealed(sealed.window());
        }
    }

    /** The open window with the revision at which it was read or written. */
    record StoredOpenWindow(OpenWindow open, StoreRevision revision) {}
}
