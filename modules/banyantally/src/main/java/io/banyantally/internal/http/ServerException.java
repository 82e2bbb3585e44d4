package io.banyantally.internal.http;

/** The HTTP server could not start or stop. */
public final class ServerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the failure with its cause. */
    public ServerException(String message, Throwable cause) {
        super(message, cause);
    }
}
