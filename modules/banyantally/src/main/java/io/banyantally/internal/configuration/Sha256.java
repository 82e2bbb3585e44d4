package io.banyantally.internal.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 over the concatenation of byte arrays. */
final class Sha256 {

    private Sha256() {}

    static byte[] of(byte[]... inputs) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] input : inputs) {
                digest.update(input);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("this JDK has no SHA-256, which every JDK must have", missing);
        }
    }

    static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(of(bytes));
    }
}
