package io.banyantally.internal.admission;

import io.banyantally.internal.admission.AdmissionRefusedException.Reason;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.ServiceName;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Admits the requests of one service to its upstreams as capacity becomes free, within this VM's share of it.
 * Lock-free: one thread at a time processes the queue, including the requests that other threads add meanwhile.
 */
final class ServiceGate {
    /**
     * Admitted prefill work whose first tokens are outstanding, in seconds of all upstreams. With a smaller window the
     * upstreams idle between two admissions; with a larger one requests queue at the upstreams, where fair queueing can
     * no longer reorder them.
     */
    private static final double PREFILL_WINDOW_SECONDS = 0.3;

    /** Fraction of the time limit that the predicted wait may use; the rest covers prediction errors. */
    private static final double USABLE_TIME_FRACTION = 0.8;

    /** Longest wait for admission, whatever the caller's time limit. */
    private static final double MAXIMUM_WAIT_SECONDS = 2;

    /** Used while a service has no upstream: one stream at a time, with long predicted waits. */
    static final ServiceCapacity NO_CAPACITY = new ServiceCapacity(1, 1, 1, 1);

    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(100);
    private static final double DURATION_SMOOTHING_FACTOR = 0.05;
    private static final long INITIAL_DURATION_NANOS = 4_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Demand is averaged over about this time. */
    private static final double DEMAND_AVERAGING_SECONDS = 4;

    private final ServiceName service;
    private final MonotonicClock clock;
    private final Supplier<ServiceCapacity> capacity;
    private final FairQueue queue = new FairQueue();
    private final Queue<PendingRequest> arrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger pendingPasses = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicLong prefillNanos = new AtomicLong();
    private volatile double share;
    private final AtomicLong meanDurationNanos = new AtomicLong(INITIAL_DURATION_NANOS);
    private final AtomicLong demandNanos = new AtomicLong();
    private double demand;

    ServiceGate(ServiceName service, MonotonicClock clock, Supplier<ServiceCapacity> capacity, double share) {
        this.service = service;
        this.clock = clock;
        this.capacity = capacity;
        this.share = share;
    }

    void setShare(double share) {
        this.share = share;
    }

    /** Returns the smoothed demand, in seconds of work of all upstreams per second. Call it once per exchange round. */
    double updateDemand(double roundSeconds) {
        double current = demandNanos.getAndSet(0) / NANOS_PER_SECOND / roundSeconds;
        demand += Math.min(1, roundSeconds / DEMAND_AVERAGING_SECONDS) * (current - demand);
        return demand;
    }

    long now() {
        return clock.nanoTime();
    }

    int waiting() {
        return waiting.get();
    }

    /** Admits, queues or refuses a request; completes its {@code decision} unless it is queued. */
    void submit(PendingRequest request) {
        demandNanos.addAndGet((long) (request.work() * NANOS_PER_SECOND));
        if (waiting.get() == 0 && hasRoom(capacity.get())) {
            admit(request);
            return;
        }
        waiting.incrementAndGet();
        arrivals.add(request);
        processQueue();
    }

    /**
     * Processes new and waiting requests. If another thread is doing so, returns at once; that thread then runs again.
     */
    void processQueue() {
        if (pendingPasses.getAndIncrement() != 0) {
            return;
        }
        int passes = 1;
        while (passes != 0) {
            runPass();
            passes = pendingPasses.addAndGet(-passes);
        }
    }

    private void runPass() {
        ServiceCapacity available = capacity.get();
        for (PendingRequest arrival = arrivals.poll(); arrival != null; arrival = arrivals.poll()) {
            enqueueOrRefuse(arrival, available);
        }
        long now = clock.nanoTime();
        queue.removeHeads(request -> request.decision.isDone() || now - request.arrival > request.waitLimitNanos)
                .forEach(request -> {
                    waiting.decrementAndGet();
                    discard(request);
                });
        while (queue.size() > 0 && hasRoom(available)) {
            PendingRequest next = queue.poll();
            waiting.decrementAndGet();
            if (next.decision.isDone()) {
                discard(next);
            } else {
                admit(next);
            }
        }
    }

    /** Refuses a request that has waited too long; only refunds one that its caller cancelled. */
    private void discard(PendingRequest request) {
        if (request.decision.isCancelled()) {
            request.account.refund(request.expected);
        } else {
            refuse(request, Duration.ofNanos(request.waitLimitNanos));
        }
    }

    private void enqueueOrRefuse(PendingRequest request, ServiceCapacity available) {
        double ownPrefill = request.expected.promptTokens() / available.upstreamPrefillTokensPerSecond();
        double limit = request.request.timeLimit().toNanos() / NANOS_PER_SECOND * USABLE_TIME_FRACTION
                - ownPrefill
                - PREFILL_WINDOW_SECONDS;
        limit = Math.max(0, Math.min(limit, MAXIMUM_WAIT_SECONDS));
        double wait = predictedWait(request, available);
        if (wait > limit) {
            waiting.decrementAndGet();
            refuse(request, Duration.ofNanos((long) (wait * NANOS_PER_SECOND)));
            return;
        }
        request.waitLimitNanos = (long) (limit * NANOS_PER_SECOND);
        queue.add(request);
    }

    private double predictedWait(PendingRequest request, ServiceCapacity available) {
        if (queue.size() == 0 && hasRoom(available)) {
            return 0;
        }
        FairQueue.WorkAhead ahead = queue.workAhead(request);
        double prefill = prefillNanos.get() / NANOS_PER_SECOND + ahead.prefillWork();
        double prefillWait = prefill / share - PREFILL_WINDOW_SECONDS;
        double ownStreams = Math.max(1, available.streams() * share);
        double excess = streams.get() + ahead.requests() + 1 - ownStreams;
        double streamWait = excess * (meanDurationNanos.get() / NANOS_PER_SECOND) / ownStreams;
        return Math.max(0, Math.max(prefillWait, streamWait));
    }

    private boolean hasRoom(ServiceCapacity available) {
        return prefillNanos.get() < PREFILL_WINDOW_SECONDS * share * NANOS_PER_SECOND
                && streams.get() < Math.max(1, available.streams() * share);
    }

    private void admit(PendingRequest request) {
        streams.incrementAndGet();
        long prefillNanosHeld = (long) (request.prefillWork() * NANOS_PER_SECOND);
        prefillNanos.addAndGet(prefillNanosHeld);
        Ticket ticket = new Ticket(this, request, prefillNanosHeld, clock.nanoTime());
        if (!request.decision.complete(ticket)) {
            ticket.close();
        }
    }

    private void refuse(PendingRequest request, Duration expectedWait) {
        Duration retryAfter = expectedWait.compareTo(MINIMUM_RETRY_AFTER) < 0 ? MINIMUM_RETRY_AFTER : expectedWait;
        AdmissionRefusedException refusal = new AdmissionRefusedException(
                Reason.OVERLOADED,
                retryAfter,
                "service " + service + " cannot begin the answer within the time limit of "
                        + request.request.timeLimit() + "; retry in " + retryAfter);
        if (request.decision.completeExceptionally(refusal)) {
            request.account.refund(request.expected);
        }
    }

    void prefillEnded(long heldNanos) {
        prefillNanos.addAndGet(-heldNanos);
        processQueueIfWaiting();
    }

    void requestEnded(long durationNanos) {
        streams.decrementAndGet();
        meanDurationNanos.updateAndGet(mean -> mean + Math.round(DURATION_SMOOTHING_FACTOR * (durationNanos - mean)));
        processQueueIfWaiting();
    }

    void processQueueIfWaiting() {
        if (waiting.get() > 0) {
            processQueue();
        }
    }
}
