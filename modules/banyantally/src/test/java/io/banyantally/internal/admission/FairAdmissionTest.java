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
    /** One long prompt fills the window of this capacity, and four streams fill it. */
    private static final ServiceCapacity SMALL = new ServiceCapacity(10_000, 10_000, 4, 100);

    private static final WorkEstimate LONG = new WorkEstimate(4_000, 20);
    private static final WorkEstimate MEDIUM = new WorkEstimate(2_000, 20);
    private static final WorkEstimate SHORT = new WorkEstimate(500, 20);

    private final ClientAccountParameters large = AdmissionWorld.account("large", 0, 1, 1e9);
    private final ClientAccountParameters small = AdmissionWorld.account("small", 0, 1, 1e9);
    private final AdmissionWorld world = new AdmissionWorld(1, SMALL, large, small);

    private static AdmissionRefusedException refusalOf(CompletableFuture<AdmissionTicket> answer) {
        return assertInstanceOf(AdmissionRefusedException.class, answer.exceptionNow());
    }

    /** Guards against a request that waits for nothing: its caller would learn of the overload only at its deadline. */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "admission", fault = "overload")
    void refusesAtOnceWhenThePredictedWaitPassesTheTimeLimit() {
        List<CompletableFuture<AdmissionTicket>> answers = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            answers.add(world.submit(0, large, LONG));
        }
        CompletableFuture<AdmissionTicket> last = answers.getLast();
        assertTrue(last.isCompletedExceptionally(), "the last request is refused before any time passes");
        assertEquals(
                AdmissionRefusedException.Reason.OVERLOADED, refusalOf(last).reason());
        assertTrue(refusalOf(last).retryAfter().compareTo(Duration.ofMillis(100)) >= 0);
        world.clock.advance(Duration.ofSeconds(5));
        world.vms.getFirst().admitWaiting();
        assertTrue(answers.stream().allMatch(CompletableFuture::isDone), "no request is held");
    }

    /** Guards against a refusal whose request runs after all, or that goes on counting against its account's limits. */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "admission", fault = "room appears after the refusal")
    void aRefusedRequestNeverGetsATicket() {
        List<CompletableFuture<AdmissionTicket>> answers = new ArrayList<>();
        for (int request = 0; request < 20; request++) {
            answers.add(world.submit(0, large, LONG));
        }
        List<CompletableFuture<AdmissionTicket>> refused = answers.stream()
                .filter(CompletableFuture::isCompletedExceptionally)
                .toList();
        answers.stream()
                .filter(answer -> answer.isDone() && !answer.isCompletedExceptionally())
                .forEach(answer -> answer.join().close());
        world.vms.getFirst().admitWaiting();
        assertFalse(refused.isEmpty());
        refused.forEach(answer -> refusalOf(answer));
    }

    /** Guards against requests that wait in vain when the upstreams become slower than was predicted. */
    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "waiting at the gate", fault = "upstreams stall")
    void refusesWaitingRequestsBeforeTheTimeLimitIsUsedUp() {
        assertTrue(world.submit(0, large, LONG).isDone());
        CompletableFuture<AdmissionTicket> waiting = world.submit(0, small, SHORT);
        assertFalse(waiting.isDone());
        world.clock.advance(Duration.ofMillis(1_100));
        world.vms.getFirst().admitWaiting();
        assertEquals(
                AdmissionRefusedException.Reason.OVERLOADED, refusalOf(waiting).reason());
    }

    /** Guards against one account that fills the queue and starves the others. */
    @Test
    void aLargeAccountDoesNotDelayASmallOne() {
        CompletableFuture<AdmissionTicket> running = world.submit(0, large, LONG);
        CompletableFuture<AdmissionTicket> first = world.submit(0, large, MEDIUM);
        CompletableFuture<AdmissionTicket> later = world.submit(0, large, MEDIUM);
        CompletableFuture<AdmissionTicket> other = world.submit(0, small, MEDIUM);
        assertFalse(other.isDone());
        running.join().finish(20);
        assertTrue(first.isDone() && other.isDone(), "one of each account is next");
        assertFalse(later.isDone(), "the large account has had its turn");
    }

    /** Guards against accounts that do not take turns for calls whose work is not known in tokens. */
    @Test
    void accountsTakeTurnsForCallsWithoutTokens() {
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
                new AdmissionRequest(parameters, AdmissionWorld.SERVICE, none, Duration.ofSeconds(1));
        return new PendingRequest(request, new AccountState(parameters, 1, 0), none, SMALL, 0);
    }

    /** Guards against capacity that is lost with each request whose caller goes away while it waits. */
    @Test
    void aCancelledRequestTakesNoRoom() {
        CompletableFuture<AdmissionTicket> running = world.submit(0, large, LONG);
        CompletableFuture<AdmissionTicket> cancelled = world.submit(0, large, SHORT);
        CompletableFuture<AdmissionTicket> next = world.submit(0, small, SHORT);
        cancelled.cancel(false);
        running.join().finish(20);
        assertTrue(next.isDone() && !next.isCompletedExceptionally());
        assertEquals(0, world.vms.getFirst().waitingRequests());
    }

    /** Guards against an account that passes its limit by spreading its requests over time. */
    @Test
    void holdsTheRateOfAnAccount() {
        ClientAccountParameters limited = AdmissionWorld.account("limited", 0, 1, 10);
        AdmissionWorld wide = new AdmissionWorld(1, new ServiceCapacity(1e9, 1e9, 1e6, 1e9), limited);
        int admitted = 0;
        for (int step = 0; step < 1_000; step++) {
            CompletableFuture<AdmissionTicket> answer = wide.submit(0, limited, SHORT);
            if (!answer.isCompletedExceptionally()) {
                admitted++;
                answer.join().finish(20);
            } else {
                assertEquals(
                        AdmissionRefusedException.Reason.ACCOUNT_LIMIT,
                        refusalOf(answer).reason());
            }
            wide.clock.advance(Duration.ofMillis(10));
        }
        assertTrue(admitted >= 95 && admitted <= 10 * 10 + 11, "10 a second for 10 s and a burst: " + admitted);
    }
}
