package io.banyantally.internal.adapter;

import java.util.Optional;

/**
 * The JSON request to the key-value service; fields that an operation does not need are zero or empty.
 *
 * @param millis the time to live of a lease or the timeout of a watch, in milliseconds
 */
public record StoreRequest(String key, long revision, byte[] value, Optional<Long> lease, long millis) {

    /** The path prefix that the name of the operation follows. */
    public static final String PATH = "/key-value/";

    static StoreRequest ofKey(String key) {
        return new StoreRequest(key, 0, new byte[0], Optional.empty(), 0);
    }

    static StoreRequest ofLease(long lease) {
        return new StoreRequest("", 0, new byte[0], Optional.of(lease), 0);
    }
}
