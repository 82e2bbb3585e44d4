package io.banyantally.internal.admission;

/** Permission for one admitted request to use upstreams. */
public interface AdmissionTicket extends AutoCloseable {

    /** Reports the first token from an upstream, which ends prefill and frees prefill capacity for other requests. */
    void firstTokenSent();

    /** Takes one retry out of the account's retry budget; returns false if the budget is used up. */
    boolean tryRetry();

    /** Ends the request and reports the number of generated tokens. */
    void finish(int outputTokens);

    /** Ends the request without a token count; has no effect after {@link #finish}. */
    @Override
    void close();
}
