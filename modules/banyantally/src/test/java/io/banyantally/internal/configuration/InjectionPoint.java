package io.banyantally.internal.configuration;

import io.banyantally.platform.StoreKey;
import io.banyantally.testing.StoreOperation;
import java.util.Optional;

/** The point of a change or withdrawal at which a fault is injected. */
enum InjectionPoint {
    MANIFEST_READ,
    BUCKET_WRITE,
    BUCKET_WRITTEN,
    MANIFEST_WRITE,
    MANIFEST_WRITTEN,
    FIRST_CONFIRMATION,
    THIRD_CONFIRMATION,
    FIFTH_CONFIRMATION,
    SEVENTH_CONFIRMATION,
    WATCH;

    /** Returns whether this point is at a call of the key-value service, before or after it takes effect. */
    boolean matchesStoreCall(StoreOperation operation, Optional<StoreKey> key, boolean after) {
        boolean manifest = key.equals(Optional.of(ConfigurationStore.MANIFEST_KEY));
        boolean write = operation == StoreOperation.COMPARE_AND_SWAP;
        return switch (this) {
            case MANIFEST_READ -> operation == StoreOperation.GET && manifest && !after;
            case BUCKET_WRITE -> write && !manifest && !after;
            case BUCKET_WRITTEN -> write && !manifest && after;
            case MANIFEST_WRITE -> write && manifest && !after;
            case MANIFEST_WRITTEN -> write && manifest && after;
            case WATCH -> operation == StoreOperation.AWAIT_CHANGE && !after;
            default -> false;
        };
    }

    /** Returns whether this point is at the writer's given request to a peer, counted from 1. */
    boolean matchesPeerRequest(int number) {
        return switch (this) {
            case FIRST_CONFIRMATION -> number == 1;
            case THIRD_CONFIRMATION -> number == 3;
            case FIFTH_CONFIRMATION -> number == 5;
            case SEVENTH_CONFIRMATION -> number == 7;
            default -> false;
        };
    }
}
