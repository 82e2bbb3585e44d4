package io.banyantally.internal.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

/**
 * The salted hash of a high-entropy secret, such as a generated key or an operator's token.
 *
 * @param salt random bytes in hexadecimal
 * @param hash SHA-256 of salt and secret in hexadecimal
 */
public record SaltedHash(String salt, String hash) {

    private static final int SALT_BYTES = 16;
    private static final HexFormat HEX = HexFormat.of();

    /** Rejects values that are not hexadecimal. */
    public SaltedHash {
        HEX.parseHex(salt);
        HEX.parseHex(hash);
    }

    /** Hashes a secret with a new salt. */
    public static SaltedHash of(String secret, SecureRandom random) {
        byte[] salt = new byte[SALT_BYTES];
        random.nextBytes(salt);
        return new SaltedHash(HEX.formatHex(salt), HEX.formatHex(digest(salt, secret)));
    }

    /** Returns whether a secret has this hash, in a time that depends only on the length of the secret. */
    public boolean matches(String secret) {
        return MessageDigest.isEqual(HEX.parseHex(hash), digest(HEX.parseHex(salt), secret));
    }

    private static byte[] digest(byte[] salt, String secret) {
        return Sha256.of(salt, secret.getBytes(StandardCharsets.UTF_8));
    }
}
