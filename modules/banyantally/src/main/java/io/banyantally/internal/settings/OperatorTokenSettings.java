package io.banyantally.internal.settings;

/**
 * The operators' token as a salted hash.
 *
 * @param salt random bytes in hexadecimal
 * @param hash SHA-256 of salt and token in hexadecimal
 */
public record OperatorTokenSettings(String salt, String hash) {

    private static final String HEXADECIMAL = "([0-9a-f]{2})+";

    static OperatorTokenSettings read(JsonFields fields) {
        OperatorTokenSettings settings = new OperatorTokenSettings(
                fields.text("salt", "bytes in hexadecimal", "00", text -> matching(text, HEXADECIMAL)),
                fields.text("hash", "64 hexadecimal digits", "00", text -> matching(text, "[0-9a-f]{64}")));
        fields.finish();
        return settings;
    }

    private static String matching(String text, String pattern) {
        if (!text.matches(pattern)) {
            throw new IllegalArgumentException(text);
        }
        return text;
    }
}
