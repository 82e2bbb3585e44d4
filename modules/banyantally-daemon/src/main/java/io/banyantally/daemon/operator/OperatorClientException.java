package io.banyantally.daemon.operator;

/** An entry daemon could not be asked. */
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
