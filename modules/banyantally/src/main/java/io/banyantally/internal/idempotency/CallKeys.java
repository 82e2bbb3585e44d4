package io.banyantally.internal.idempotency;

import io.banyantally.platform.StoreKey;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Derives the store key of a call's record. The idempotency key is hashed, since it may contain any characters. */
final class CallKeys {

    private CallKeys() {}

    static StoreKey keyOf(CallIdentity identity) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            // Service names contain no line feed, so different pairs never yield the same hash input.
            byte[] hash = digest.digest(
                    (identity.service() + "\n" + identity.idempotencyKey()).getBytes(StandardCharsets.UTF_8));
            return new StoreKey(
                    "call/" + identity.account() + "/" + HexFormat.of().formatHex(hash));
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", missing);
        }
    }
}
