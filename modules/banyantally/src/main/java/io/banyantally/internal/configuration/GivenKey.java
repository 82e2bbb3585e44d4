package io.banyantally.internal.configuration;

import io.banyantally.model.KeyId;

/**
 * A key that was issued to a client account.
 *
 * @param text the key as the caller sends it, with its secret; shown once and never stored
 */
public record GivenKey(KeyId id, String text, ChangeOutcome outcome) {

    @Override
    public String toString() {
        return "GivenKey[id=" + id + ", outcome=" + outcome + "]";
    }
}
