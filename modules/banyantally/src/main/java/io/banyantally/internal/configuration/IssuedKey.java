package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;

/**
 * A key that was issued to a client account.
 *
 * @param text what the caller presents; shown once and stored nowhere
 */
public record IssuedKey(KeyId id, String text, ChangeOutcome outcome) {

    @Override
    public String toString() {
        return "IssuedKey[id=" + id + ", outcome=" + outcome + "]";
    }
}
