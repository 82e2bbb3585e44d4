package io.banyantally.model;

import java.util.regex.Pattern;

/** Argument checks shared by the identifier types. */
final class Identifiers {

    private static final Pattern ALLOWED = Pattern.compile("[a-zA-Z0-9][a-zA-Z0-9._:-]{0,127}");

    private Identifiers() {}

    /**
     * Rejects a value that no header can carry. Other values are those of another system, which chooses their form, so
     * they are escaped where they need to be.
     */
    static void checkName(String kind, String value) {
        if (value == null || value.isEmpty() || value.chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException(kind + " is missing, empty or has control characters");
        }
    }

    /** Rejects a value that is unsafe in a store key, a header or a log line. */
    static void check(String kind, String value) {
        if (value == null || !ALLOWED.matcher(value).matches()) {
            throw new IllegalArgumentException(
                    kind + " '" + value
                            + "' is not valid; use 1 to 128 letters, digits, '.', '_', ':' or '-', starting with a letter or digit");
        }
    }
}
