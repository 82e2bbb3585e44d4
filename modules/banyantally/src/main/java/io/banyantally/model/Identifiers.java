package io.banyantally.model;

import java.util.regex.Pattern;

/** Argument checks shared by the identifier types. */
final class Identifiers {

    private static final Pattern ALLOWED = Pattern.compile("[a-zA-Z0-9][a-zA-Z0-9._:-]{0,127}");

    private Identifiers() {}

    /** Rejects a value that is unsafe in a store key, a header or a log line. */
    static void check(String kind, String value) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    kind + " '" + value
                            + "' is not valid; use 1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit");
        }
    }
}
