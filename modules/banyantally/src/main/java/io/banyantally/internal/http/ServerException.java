package io.banyantally.internal.http;

/** Thrown when the HTTP server fails to start or stop. */
public final class ServerException extends Exception {

    private static final long serialVersionUID = 1L;

    /** Creates the exception with its cause. */
    public ServerException(String message, Throwable cause) {
        super(message, cause);
    }
}
