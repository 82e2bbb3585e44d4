package io.banyantally.internal.admission;

import io.banyantally.model.ClientAccountId;
import java.util.concurrent.CompletableFuture;

/** A request that waits for admission; its ticket refers to it after that. */
final class PendingRequest {
    /**
     * Calls to plain services are estimated at 0 tokens; without a minimum, fair queueing would not alternate accounts.
     */
    private static final double MINIMUM_WORK_SECONDS = 1e-6;

    final AdmissionRequest request;
    final AccountState account;
    final WorkEstimate expected;
    final long arrival;
    final CompletableFuture<AdmissionTicket> decision = new CompletableFuture<>();
    double startTag;
    double finishTag;
    long waitLimitNanos;
    private final double prefillWork;
    private final double work;

    PendingRequest(
            AdmissionRequest request,
            AccountState account,
            WorkEstimate expected,
            ServiceCapacity capacity,
            long arrival) {
        this.request = request;
        this.account = account;
        this.expected = expected;
        this.arrival = arrival;
        this.prefillWork = expected.promptTokens() / capacity.prefillTokensPerSecond();
        double outputWork = expected.outputTokens() / capacity.outputTokensPerSecond();
        this.work = Math.max(MINIMUM_WORK_SECONDS, prefillWork + outputWork);
    }

    ClientAccountId account() {
        return request.account().account();
    }

    int priority() {
        return request.account().priority();
    }

    double weight() {
        return request.account().weight();
    }

    /** Returns the seconds that all upstreams of the service together need for the prompt. */
    double prefillWork() {
        return prefillWork;
    }

    /** Returns the seconds that all upstreams of the service together need for the whole request. */
    double work() {
        return work;
    }
}
