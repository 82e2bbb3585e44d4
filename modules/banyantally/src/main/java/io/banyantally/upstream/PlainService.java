package io.banyantally.upstream;

/** One replica of a plain service. */
@FunctionalInterface
public interface PlainService {

    /**
     * Sends a call once, on a new connection, and waits for the complete answer. No lower layer retries the call.
     *
     * @throws NotSentException if no byte of the call left the process
     * @throws AnswerTruncatedException if the call may have run
     */
    ServiceAnswer call(ServiceCall call) throws UpstreamException, InterruptedException;
}
