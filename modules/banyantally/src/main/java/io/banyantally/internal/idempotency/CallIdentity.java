package io.banyantally.internal.idempotency;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;

/** Names a call that its caller may ask for again: the same identity runs at most once. */
public record CallIdentity(ClientAccountId account, ServiceName service, String idempotencyKey) {

    private static final int MAXIMUM_KEY_LENGTH = 200;

    /** Rejects idempotency keys that are empty or too long. */
    public CallIdentity {
        if (idempotencyKey == null || idempotencyKey.isBlank() || idempotencyKey.length() > MAXIMUM_KEY_LENGTH) {
            throw new IllegalArgumentException("idempotency key of "
                    + (idempotencyKey == null ? 0 : idempotencyKey.length())
                    + " characters is not valid; use 1 to " + MAXIMUM_KEY_LENGTH + " characters");
        }
    }
}
