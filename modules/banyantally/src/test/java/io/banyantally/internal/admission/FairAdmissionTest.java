package io.banyantally.internal.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.configuration.ClientAccountParameters;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

final class FairAdmissionTest {
    /** One long prompt fills the prefill window of this capacity, and four requests use all its streams. */
    private static final ServiceCapacity SMALL = new ServiceCapacity(10_000, 10_000, 4, 100);

    private static final WorkEstimate LONG = new WorkEstimate(4_000, 20);
    private static final WorkEstimate MEDIUM = new WorkEstimate(2_000, 20);
    private static final WorkEstimate SHORT = new WorkEstimate(500, 20);

    private final ClientAccountParameters large = AdmissionFixture.account("large", 0, 1, 1e9);
    private final ClientAccountParameters small = AdmissionFixture.account("small", 0, 1, 1e9);
    private final AdmissionFixture fixture = new AdmissionFixture(1, SMALL, large, small);

    private static AdmissionRefusedException refusalOf(CompletableFuture<AdmissionTicket> answer) {
        return assertInstanceOf(AdmissionRefusedException.class, answer.exceptionNow());
    }

    /**
     * Guards against requests that wait although they cannot be served in time; their callers would learn it only at
     * the deadline.
     */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "admission", fault = "overload")
    void refusesAtOnceIfPredictedWaitExceedsTimeLimit() {
        List<CompletableFuture<AdmissionTicket>> answers = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            answers.add(fixture.submit(0, large, LONG));
        }
        CompletableFuture<AdmissionTicket> last = answers.getLast();
        assertTrue(last.isCompletedExceptionally(), "the last request is refused before any time passes");
        assertEquals(
                AdmissionRefusedException.Reason.OVERLOADED, refusalOf(last).reason());
        assertTrue(refusalOf(last).retryAfter().compareTo(Duration.ofMillis(100)) >= 0);
        fixture.clock.advance(Duration.ofSeconds(5));
        fixture.vms.getFirst().admitWaiting();
        assertTrue(answers.stream().allMatch(CompletableFuture::isDone), "no request is still waiting");
    }

    /**
     * Guards against a refused request that runs later after all, or that still counts against its account's limits.
     */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "admission", fault = "capacity becomes free after the refusal")
    void refusedRequestNeverGetsTicket() {
        List<CompletableFuture<AdmissionTicket>> answers = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            answers.add(fixture.submit(0, large, LONG));
        }
        List<CompletableFuture<AdmissionTicket>> refused = answers.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .toList();
        answers.stream()
                .filter(answer -> answer.isDone() && !answer.isCompletedExceptionally())
                .forEach(answer -> answer.join().close());
        fixture.vms.getFirst().admitWaiting();
        assertFalse(refused.isEmpty());
        refused.forEach(answer -> refusalOf(answer));
    }

    /** Guards against requests that wait until their deadline because the upstreams are slower than predicted. */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "waiting for admission", fault = "upstreams stall")
    void refusesWaitingRequestsBeforeTimeLimit() {
        assertTrue(fixture.submit(0, large, LONG).isDone());
        CompletableFuture<AdmissionTicket> waiting = fixture.submit(0, small, SHORT);
        assertFalse(waiting.isDone());
        fixture.clock.advance(Duration.ofMillis(1_100));
        fixture.vms.getFirst().admitWaiting();
        assertEquals(
                AdmissionRefusedException.Reason.OVERLOADED, refusalOf(waiting).reason());
    }

    /** Guards against an account that fills the queue and delays all others. */
    @Test
    void busyAccountDoesNotDelayOthers() {
        CompletableFuture<AdmissionTicket> running = fixture.submit(0, large, LONG);
        CompletableFuture<AdmissionTicket> first = fixture.submit(0, large, MEDIUM);
        CompletableFuture<AdmissionTicket> later = fixture.submit(0, large, MEDIUM);
        CompletableFuture<AdmissionTicket> other = fixture.submit(0, small, MEDIUM);
        assertFalse(other.isDone());
        running.join().finish(20);
        assertTrue(first.isDone() && other.isDone(), "one request of each account is admitted next");
        assertFalse(later.isDone(), "the second request of the busy account waits");
    }

    /**
     * Guards against fair queueing that does not alternate accounts for calls to plain services, which have no tokens.
     */
    @Test
    void alternatesAccountsForCallsWithoutTokens() {
        FairQueue queue = new FairQueue();
        for (int call = 0; call < 5; call++) {
            queue.add(callWithoutTokens(large));
        }
        queue.add(callWithoutTokens(small));
        List<String> order = new ArrayList<>();
        while (queue.size() > 0) {
            order.add(queue.poll().account().value());
        }
        assertTrue(order.indexOf("small") <= 1, "order " + order);
    }

    private PendingRequest callWithoutTokens(ClientAccountParameters parameters) {
        WorkEstimate none = new WorkEstimate(0, 0);
        AdmissionRequest request =
                new AdmissionRequest(parameters, AdmissionFixture.SERVICE, none, Duration.ofSeconds(1));
        return new PendingRequest(request, new AccountState(parameters, 1, 0), none, SMALL, 0);
    }

    /** Guards against capacity that is not freed when a caller cancels its waiting request. */
    @Test
    void cancelledRequestHoldsNoCapacity() {
        CompletableFuture<AdmissionTicket> running = fixture.submit(0, large, LONG);
        CompletableFuture<AdmissionTicket> cancelled = fixture.submit(0, large, SHORT);
        CompletableFuture<AdmissionTicket> next = fixture.submit(0, small, SHORT);
        cancelled.cancel(false);
        running.join().finish(20);
        assertTrue(next.isDone() && !next.isCompletedExceptionally());
        assertEquals(0, fixture.vms.getFirst().waitingRequests());
    }

    /** Guards against an account that exceeds its request rate over time. */
    @Test
    void enforcesRequestRateOfAccount() {
        ClientAccountParameters limited = AdmissionFixture.account("limited", 0, 1, 10);
        AdmissionFixture unlimited = new AdmissionFixture(1, new ServiceCapacity(1e9, 1e9, 1e6, 1e9), limited);
        int admitted = 0;
        for (int step = 0; step < 1_000; step++) {
            CompletableFuture<AdmissionTicket> answer = unlimited.submit(0, limited, SHORT);
            if (!answer.isCompletedExceptionally()) {
                admitted++;
                answer.join().finish(20);
            } else {
                assertEquals(
                        AdmissionRefusedException.Reason.ACCOUNT_LIMIT,
                        refusalOf(answer).reason());
            }
            unlimited.clock.advance(Duration.ofMillis(10));
        }
        assertTrue(admitted >= 95 && admitted <= 10 * 10 + 11, "10 a second for 10 s and a burst: " + admitted);
    }
}
