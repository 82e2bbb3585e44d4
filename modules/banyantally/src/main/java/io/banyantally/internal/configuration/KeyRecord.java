package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;

/**
 * A caller's key as stored, without its secret.
 *
 * @param salt random bytes in hexadecimal
 * @param hash SHA-256 of salt and secret in hexadecimal
 */
public record KeyRecord(KeyId id, ClientAccountId account, String salt, String hash) {

    @Override
    public String toString() {
        return "KeyRecord[id=" + id + ", account=" + account + "]";
    }
}
