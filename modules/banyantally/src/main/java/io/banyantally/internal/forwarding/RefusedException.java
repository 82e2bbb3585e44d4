package io.banyantally.internal.forwarding;

/** Ends a request with an error response of the gateway itself. */
final class RefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusedException(Refusal refusal) {
        super(refusal.reason());
        this.refusal = refusal;
    }

    Refusal refusal() {
        return refusal;
    }
}
