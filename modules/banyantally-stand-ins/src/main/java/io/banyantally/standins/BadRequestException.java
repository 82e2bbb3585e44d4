package io.banyantally.standins;

import java.io.IOException;

/** A request to a stand-in that it cannot understand; answered with status 400. */
public final class BadRequestException extends IOException {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with a message that says what to change. */
    public BadRequestException(String message) {
        super(message);
    }
}
