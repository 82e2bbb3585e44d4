package io.banyantally.internal.adapter;

/** A response arrived that does not belong to the request; its connection is closed. */
public final class ForeignResponseException extends ExchangeException {

    private static final long serialVersionUID = 1L;

    private final String reason;

    ForeignResponseException(HttpCall call, String reason) {
        super(call + ": " + reason);
        this.reason = reason;
    }

    /** Returns one word for logs and metrics. */
    public String reason() {
        return reason;
    }
}
