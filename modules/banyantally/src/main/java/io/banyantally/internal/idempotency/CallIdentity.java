package io.banyantally.internal.idempotency;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;

/** Identifies a call whose outcome the caller may query later; calls with the same identity run at most once. */
public record CallIdentity(ClientAccountId account, ServiceName service, String idempotencyKey) {

    private static final int MAXIMUM_KEY_LENGTH = 200;

    /** Rejects idempotency keys that are blank or longer than 200 characters. */
    public CallIdentity {
        if (idempotencyKey == null || idempotencyKey.isBlank() || idempotencyKey.length() > MAXIMUM_KEY_LENGTH) {
            throw new IllegalArgumentException("invalid idempotency key of "
                    + (idempotencyKey == null ? 0 : idempotencyKey.length())
                    + " characters; use a non-blank key of 1 to " + MAXIMUM_KEY_LENGTH + " characters");
        }
    }
}
