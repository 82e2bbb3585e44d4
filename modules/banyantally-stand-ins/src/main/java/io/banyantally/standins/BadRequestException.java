package io.banyantally.standins;

import java.io.IOException;

/** Thrown for a malformed request to a stand-in; answered with status 400. */
public final class BadRequestException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with a message that says what is wrong and what is expected. */
    public BadRequestException(String message) {
        super(message);
    }
}
