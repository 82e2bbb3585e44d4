package io.banyantally.upstream;

/** One replica of a plain service. */
@FunctionalInterface
public interface PlainService {

    /**
     * Sends a call once, on a connection that is opened for it, and waits for the whole answer. Nothing underneath repeats
     * it.
     *
     * @throws NotSentException if no byte of the call left the process
     * @throws AnswerTruncatedException if the call may have run
     */
    ServiceAnswer call(ServiceCall call) throws UpstreamException, InterruptedException;
}
