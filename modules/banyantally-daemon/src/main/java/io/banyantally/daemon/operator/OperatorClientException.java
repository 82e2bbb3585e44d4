package io.banyantally.daemon.operator;

/** A request to an entry daemon could not be sent or got no valid response. */
final class OperatorClientException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    OperatorClientException(int exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    int exitCode() {
        return exitCode;
    }
}
