package io.banyantally.internal.admission;

import io.banyantally.model.ClientAccountId;
import java.util.concurrent.CompletableFuture;

/** A request that waits for its turn, and later the ticket's record of what it holds. */
final class PendingRequest {
    /** Calls to plain services are estimated at no tokens; with no work at all, accounts would not take turns. */
    private static final double LEAST_WORK = 1e-6;

    final AdmissionRequest request;
    final AccountState account;
    final WorkEstimate expected;
    final long arrival;
    final CompletableFuture<AdmissionTicket> answer = new CompletableFuture<>();
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
        this.work = Math.max(LEAST_WORK, prefillWork + outputWork);
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

    /** Returns the seconds that all upstreams together need for the prompt. */
    double prefillWork() {
        return prefillWork;
    }

    /** Returns the seconds that all upstreams together need for the request. */
    double work() {
        return work;
    }
}
