package io.banyantally.internal.configuration;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.KeyId;
import java.security.SecureRandom;
import java.util.HexFormat;

/** Generates API keys. */
public final class KeyGenerator {

    private static final int ID_BYTES = 8;
    private static final int SECRET_BYTES = 32;

    private final SecureRandom random;

    /** Creates a generator; use a {@code new SecureRandom()} outside tests. */
    public KeyGenerator(SecureRandom random) {
        this.random = random;
    }

    /** Generates a key with a random identifier and secret. */
    public NewKey generate(ClientAccountId account) {
        ApiKey key = new ApiKey(new KeyId(hex(ID_BYTES)), hex(SECRET_BYTES));
        SaltedHash hash = SaltedHash.of(key.secret(), random);
        return new NewKey(new KeyRecord(key.id(), account, hash.salt(), hash.hash()), key.text());
    }

    private String hex(int count) {
        byte[] bytes = new byte[count];
        random.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    /**
     * A generated key that is not stored yet.
     *
     * @param text the key as the caller sends it, with its secret
     */
    public record NewKey(KeyRecord record, String text) {

        @Override
        public String toString() {
            return "NewKey[" + record + "]";
        }
    }
}
