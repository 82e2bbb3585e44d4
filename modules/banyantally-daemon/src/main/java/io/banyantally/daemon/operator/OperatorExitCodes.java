package io.banyantally.daemon.operator;

/** Exit codes of the operators' commands. */
final class OperatorExitCodes {

    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int CONFLICT = 3;
    static final int NOT_CONFIRMED = 4;

    private static final int HTTP_ACCEPTED = 202;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_FIRST_NON_SUCCESS = 300;

    private OperatorExitCodes() {}

    /** Returns the exit code for the HTTP status of a response. */
    static int of(int status) {
        return switch (status) {
            case HTTP_ACCEPTED -> NOT_CONFIRMED;
            case HTTP_CONFLICT -> CONFLICT;
            default -> status < HTTP_FIRST_NON_SUCCESS ? DONE : FAILED;
        };
    }
}
