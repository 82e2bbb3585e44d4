package io.banyantally.daemon.operator;

/** Exit codes of the operators' commands. */
final class OperatorExit {

    static final int DONE = 0;
    static final int FAILED = 1;
    static final int USAGE = 2;
    static final int CONFLICT = 3;
    static final int NOT_CONFIRMED = 4;

    private static final int HTTP_ACCEPTED = 202;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_FIRST_ERROR = 300;

    private OperatorExit() {}

    /** Returns the exit code for the status of an answer. */
    static int of(int status) {
        return switch (status) {
            case HTTP_ACCEPTED -> NOT_CONFIRMED;
            case HTTP_CONFLICT -> CONFLICT;
            default -> status < HTTP_FIRST_ERROR ? DONE : FAILED;
        };
    }
}
