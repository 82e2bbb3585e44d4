package io.banyantally.internal.idempotency;

import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;
import java.time.Duration;

/**
 * Sends a call that may not be repeated exactly once and says what is known afterwards. Used as it is for calls without an
 * idempotency key, which nothing can be asked about later.
 */
public final class SingleSend {

    /** A time to come back that lets a refused or unreachable upstream recover. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private SingleSend() {}

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
            return new CallOutcome.Unknown("the call failed inside this process: " + failure.getMessage());
        }
    }

    private static CallOutcome outcomeOf(UpstreamException failure) {
        return failure.mayHaveRun()
                ? new CallOutcome.Unknown(failure.getMessage())
                : new CallOutcome.NotRun(failure.getMessage(), RETRY_AFTER);
    }
}
