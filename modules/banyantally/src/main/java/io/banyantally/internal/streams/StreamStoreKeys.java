package io.banyantally.internal.streams;

import io.banyantally.model.AttemptId;
import io.banyantally.model.ServiceName;
import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Keys in the platform's store of default versions and of recorded streams. */
public final class StreamStoreKeys {

    /** Prefix of the default versions, which all VMs watch. */
    public static final String DEFAULTS_PREFIX = "banyantally/stream-defaults/";

    /** Prefix of the records of streams. */
    static final String RECORDS_PREFIX = "banyantally/stream-records/";

    private StreamStoreKeys() {}

    /** Returns the key of the default version of a service. Names of other systems may be as long as a key. */
    static StoreKey defaultVersion(ServiceName service) {
        return new StoreKey(DEFAULTS_PREFIX + hash(service.value()));
    }

    /** Returns the key of the record of a stream. */
    static StoreKey record(ServiceName service, AttemptId attempt) {
        return new StoreKey(RECORDS_PREFIX + hash(service.value()) + "/" + hash(attempt.value()));
    }

    private static UUID hash(String name) {
        return UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8));
    }
}
