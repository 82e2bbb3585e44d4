package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;

/**
 * A new key.
 *
 * @param text what the caller presents; shown once and stored nowhere
 */
public record IssuedKey(KeyId id, String text, ChangeOutcome outcome) {

    @Override
    public String toString() {
        return "GivenKey[id=" + id + ", outcome=" + outcome + "]";
    }
}
