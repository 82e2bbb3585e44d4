package io.banyantally.internal.adapter;

import java.util.Optional;

/**
 * A call to the key-value service as it goes on the wire; an operation leaves what it does not need at zero or empty.
 *
 * @param millis the time to live of a lease, or the timeout of a watch
 */
public record StoreRequest(String key, long revision, byte[] value, Optional<Long> lease, long millis) {

    /** The path under which the operations are found, followed by their names. */
    public static final String PATH = "/key-value/";

    static StoreRequest ofKey(String key) {
        return new StoreRequest(key, 0, new byte[0], Optional.empty(), 0);
    }

    static StoreRequest ofLease(long lease) {
        return new StoreRequest("", 0, new byte[0], Optional.of(lease), 0);
    }
}
