package io.banyantally.internal.configuration;

/** A request was refused because of its key, or because the key can't be checked. It was not executed. */
public final class KeyRefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Reason reason;

    /** Creates the exception; the message must not contain the key. */
    public KeyRefusedException(Reason reason, String message) {
        super(message);
        this.reason = reason;
    }

    /** Returns why the request was refused. */
    public Reason reason() {
        return reason;
    }

    /** The cause of a refusal. */
    public enum Reason {
        /** The request carries no key. */
        MISSING,
        /** The key is malformed, unknown or withdrawn; callers can't distinguish these cases. */
        NOT_VALID,
        /** This VM has no fresh proof that its configuration is current; another VM may have one. */
        NOT_PROVEN
    }
}
