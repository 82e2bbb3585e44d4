/** Thrown if a case can't run, so that it shows nothing. */
final class CannotRunException extends Exception {

    private static final long serialVersionUID = 1L;

    CannotRunException(String message) {
        super(message);
    }
}
