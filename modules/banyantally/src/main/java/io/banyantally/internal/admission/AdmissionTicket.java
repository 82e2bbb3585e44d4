package io.banyantally.internal.admission;

/** The right of one request to use upstreams. */
public interface AdmissionTicket extends AutoCloseable {

    /** Tells that an upstream has sent its first token, so that prefill is over. */
    void firstTokenSent();

    /** Asks whether the retry budgets of the account allow one more try at an upstream. */
    boolean tryRetry();

    /** Gives the right back, with the tokens that were generated. */
    void finish(int outputTokens);

    @Override
    void close();
}
