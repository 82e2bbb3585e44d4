package io.banyantally.internal.configuration;

/** A request was not let in for its key. It did not run. */
public final class KeyRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /** Creates the refusal; the message never holds the key. */
    public KeyRefusedException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns why the request was refused. */
    public Reason reason() {
        return reason;
    }

    /** Why a request was refused. */
    public enum Reason {
        /** The request carries no key. */
        MISSING,
        /** The key is malformed, unknown or withdrawn; callers can't tell which. */
        NOT_VALID,
        /** This VM has no fresh proof that its configuration is current; another VM may have. */
        NOT_PROVEN
    }
}
