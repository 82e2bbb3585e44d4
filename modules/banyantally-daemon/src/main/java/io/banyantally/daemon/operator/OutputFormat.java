package io.banyantally.daemon.operator;

import java.util.Locale;

/** The format in which responses are printed. */
enum OutputFormat {
    TEXT,
    JSON;

    /** Returns the name as it is written on the command line. */
    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
