package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;
import java.time.Duration;

/**
 * Sends a non-idempotent call once, without repeating it, and classifies the result. Used directly for calls without an
 * idempotency key, whose outcome cannot be queried later.
 */
public final class AtMostOnceSender {

    /** Suggested delay before a retry, which gives an overloaded or unreachable upstream time to recover. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private AtMostOnceSender() {}

    /**
     * Sends the call. Only failures that prove that the upstream did not run it yield {@link CallOutcome.NotRun}; every
     * other failure yields {@link CallOutcome.Unknown}.
     *
     * @throws InterruptedException if the thread was interrupted; the call may have run
     */
    public static CallOutcome send(CallSender sender) throws InterruptedException {
        try {
            ServiceAnswer answer = sender.send();
            return new CallOutcome.Ran(answer, true);
        } catch (UpstreamException failure) {
            return outcomeOf(failure);
        } catch (RuntimeException failure) {
            return new CallOutcome.Unknown("unexpected failure in the VM that sent the call: " + failure.getMessage());
        }
    }

    private static CallOutcome outcomeOf(UpstreamException failure) {
        return failure.mayHaveRun()
                ? new CallOutcome.Unknown(failure.getMessage())
                : new CallOutcome.NotRun(failure.getMessage(), RETRY_AFTER);
    }
}
