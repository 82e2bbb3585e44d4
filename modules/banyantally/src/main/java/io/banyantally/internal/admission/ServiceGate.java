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
 * Lets the requests of one service go to its upstreams as room appears, within this VM's share of the capacity. No thread
 * waits for a lock: the thread that finds the gate unattended serves the arrivals of all.
 */
final class ServiceGate {
    /**
     * Prefill work, in seconds of all upstreams, that is let in before its first tokens have come. With less, upstreams
     * stand idle between two decisions; with more, requests wait where their order can no longer be changed.
     */
    private static final double PREFILL_WINDOW_SECONDS = 0.3;

    /** The part of the time limit that prediction may fill; the rest covers its error. */
    private static final double USABLE_TIME = 0.8;

    /** No request waits longer than this at the gate, however patient its caller is. */
    private static final double LONGEST_WAIT_SECONDS = 2;

    /** Stands for a service whose last upstream is gone: one stream at a time, and long waits. */
    static final ServiceCapacity NO_CAPACITY = new ServiceCapacity(1, 1, 1, 1);

    private static final Duration SHORTEST_RETRY = Duration.ofMillis(100);
    private static final double DURATION_SMOOTHING = 0.05;
    private static final long INITIAL_DURATION_NANOS = 4_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    /** Demand is averaged over about this many seconds. */
    private static final double DEMAND_SECONDS = 4;

    private final ServiceName service;
    private final MonotonicClock clock;
    private final Supplier<ServiceCapacity> capacity;
    private final FairQueue queue = new FairQueue();
    private final Queue<PendingRequest> arrivals = new ConcurrentLinkedQueue<>();
    private final AtomicInteger attendance = new AtomicInteger();
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

    /** Returns the smoothed demand in fleet seconds a second; called once a round. */
    double foldDemand(double roundSeconds) {
        double seen = demandNanos.getAndSet(0) / NANOS_PER_SECOND / roundSeconds;
        demand += Math.min(1, roundSeconds / DEMAND_SECONDS) * (seen - demand);
        return demand;
    }

    long now() {
        return clock.nanoTime();
    }

    int waiting() {
        return waiting.get();
    }

    /** Lets a request in, queues it or refuses it; the answer is in the request's future. */
    void enter(PendingRequest request) {
        demandNanos.addAndGet((long) (request.work() * NANOS_PER_SECOND));
        if (waiting.get() == 0 && isOpen(capacity.get())) {
            letIn(request);
            return;
        }
        waiting.incrementAndGet();
        arrivals.add(request);
        attend();
    }

    /** Serves arrivals and waiting requests; returns at once if another thread is doing so, which then does it again. */
    void attend() {
        if (attendance.getAndIncrement() != 0) {
            return;
        }
        int seen = 1;
        while (seen != 0) {
            serve();
            seen = attendance.addAndGet(-seen);
        }
    }

    private void serve() {
        ServiceCapacity room = capacity.get();
        for (PendingRequest arrival = arrivals.poll(); arrival != null; arrival = arrivals.poll()) {
            join(arrival, room);
        }
        long now = clock.nanoTime();
        queue.removeHeads(request -> request.answer.isDone() || now - request.arrival > request.waitLimitNanos)
                .forEach(request -> {
                    waiting.decrementAndGet();
                    drop(request);
                });
        while (queue.size() > 0 && isOpen(room)) {
            PendingRequest next = queue.poll();
            waiting.decrementAndGet();
            if (next.answer.isDone()) {
                drop(next);
            } else {
                letIn(next);
            }
        }
    }

    /** Answers a request that has waited too long; one whose caller gave up only returns what it had taken. */
    private void drop(PendingRequest request) {
        if (request.answer.isCancelled()) {
            request.account.giveBack(request.expected);
        } else {
            refuse(request, Duration.ofNanos(request.waitLimitNanos));
        }
    }

    private void join(PendingRequest request, ServiceCapacity room) {
        double ownPrefill = request.expected.promptTokens() / room.upstreamPrefillTokensPerSecond();
        double limit = request.request.timeLimit().toNanos() / NANOS_PER_SECOND * USABLE_TIME
                - ownPrefill
                - PREFILL_WINDOW_SECONDS;
        limit = Math.max(0, Math.min(limit, LONGEST_WAIT_SECONDS));
        double wait = predictedWait(request, room);
        if (wait > limit) {
            waiting.decrementAndGet();
            refuse(request, Duration.ofNanos((long) (wait * NANOS_PER_SECOND)));
            return;
        }
        request.waitLimitNanos = (long) (limit * NANOS_PER_SECOND);
        queue.add(request);
    }

    private double predictedWait(PendingRequest request, ServiceCapacity room) {
        if (queue.size() == 0 && isOpen(room)) {
            return 0;
        }
        FairQueue.Ahead ahead = queue.ahead(request);
        double prefill = prefillNanos.get() / NANOS_PER_SECOND + ahead.prefillWork();
        double prefillWait = prefill / share - PREFILL_WINDOW_SECONDS;
        double ownStreams = Math.max(1, room.streams() * share);
        double excess = streams.get() + ahead.requests() + 1 - ownStreams;
        double streamWait = excess * (meanDurationNanos.get() / NANOS_PER_SECOND) / ownStreams;
        return Math.max(0, Math.max(prefillWait, streamWait));
    }

    private boolean isOpen(ServiceCapacity room) {
        return prefillNanos.get() < PREFILL_WINDOW_SECONDS * share * NANOS_PER_SECOND
                && streams.get() < Math.max(1, room.streams() * share);
    }

    private void letIn(PendingRequest request) {
        streams.incrementAndGet();
        long held = (long) (request.prefillWork() * NANOS_PER_SECOND);
        prefillNanos.addAndGet(held);
        Ticket ticket = new Ticket(this, request, held, clock.nanoTime());
        if (!request.answer.complete(ticket)) {
            ticket.close();
        }
    }

    private void refuse(PendingRequest request, Duration drain) {
        Duration retryAfter = drain.compareTo(SHORTEST_RETRY) < 0 ? SHORTEST_RETRY : drain;
        AdmissionRefusedException refusal = new AdmissionRefusedException(
                Reason.OVERLOADED,
                retryAfter,
                "service " + service + " cannot begin the answer within " + request.request.timeLimit()
                        + "; come back in " + retryAfter);
        if (request.answer.completeExceptionally(refusal)) {
            request.account.giveBack(request.expected);
        }
    }

    void prefillDone(long heldNanos) {
        prefillNanos.addAndGet(-heldNanos);
        attendIfWaiting();
    }

    void left(long durationNanos) {
        streams.decrementAndGet();
        meanDurationNanos.updateAndGet(mean -> mean + Math.round(DURATION_SMOOTHING * (durationNanos - mean)));
        attendIfWaiting();
    }

    void attendIfWaiting() {
        if (waiting.get() > 0) {
            attend();
        }
    }
}
