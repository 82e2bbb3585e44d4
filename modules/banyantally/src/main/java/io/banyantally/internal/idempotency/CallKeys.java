package io.banyantally.internal.idempotency;

import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Names the record of a call. The idempotency key is hashed, since callers choose its characters freely. */
final class CallKeys {

    private CallKeys() {}

    static StoreKey keyOf(CallIdentity identity) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            // Service names have no line feed, so different pairs never hash the same text.
            byte[] hash = digest.digest(
                    (identity.service() + "\n" + identity.idempotencyKey()).getBytes(StandardCharsets.UTF_8));
            return new StoreKey(
                    "call/" + identity.account() + "/" + HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
