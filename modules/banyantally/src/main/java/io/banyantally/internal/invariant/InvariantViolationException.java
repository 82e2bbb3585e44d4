package io.banyantally.internal.invariant;

/** Thrown before an action that would have broken a promise. */
public final class InvariantViolationException extends Exception {

    private static final long serialVersionUID = 1L;

    private final Promise promise;

    /** Creates the exception for the promise that the action would have broken. */
    public InvariantViolationException(Promise promise, String detail) {
        super(promise + ": " + detail);
        this.promise = promise;
    }

    /** Returns the promise that the action would have broken. */
    public Promise promise() {
        return promise;
    }
}
