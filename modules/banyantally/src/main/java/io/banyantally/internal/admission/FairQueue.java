package io.banyantally.internal.admission;

import io.banyantally.model.ClientAccountId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Weighted fair queueing over client accounts. Work is measured in seconds that all upstreams of the service together
 * need for it. A request of higher priority overtakes others only within {@link #PRIORITY_WINDOW_SECONDS}, so its
 * account waits less but gets no more than its share. Not thread-safe.
 */
final class FairQueue {
    /**
     * Requests whose start tags are within this much virtual time from now are ordered by priority before finish tag.
     */
    private static final double PRIORITY_WINDOW_SECONDS = 0.1;

    private final Map<ClientAccountId, Flow> flows = new HashMap<>();
    private final List<Flow> activeFlows = new ArrayList<>();
    private double virtualTime;
    private int size;

    /** The waiting requests of one account. */
    private static final class Flow {
        private final Deque<PendingRequest> requests = new ArrayDeque<>();
        private double lastFinish;
        private double weight = 1;
        private double work;
        private double prefillWork;
    }

    /** Prefill work, in seconds of all upstreams, and number of requests that would be served before a new request. */
    record WorkAhead(double prefillWork, double requests) {}

    int size() {
        return size;
    }

    /** Estimates what would be served before {@code request} if it were added now. */
    WorkAhead workAhead(PendingRequest request) {
        Flow own = flows.get(request.account());
        double start = own == null ? virtualTime : Math.max(virtualTime, own.lastFinish);
        double finish = start + request.work() / request.weight();
        double prefillWork = 0;
        double requests = 0;
        for (Flow flow : activeFlows) {
            double workServedBefore = Math.max(0, (finish - virtualTime) * flow.weight);
            double fraction = flow == own ? 1 : Math.min(1, workServedBefore / Math.max(1e-12, flow.work));
            prefillWork += fraction * flow.prefillWork;
            requests += fraction * flow.requests.size();
        }
        return new WorkAhead(prefillWork, requests);
    }

    void add(PendingRequest request) {
        Flow flow = flows.computeIfAbsent(request.account(), account -> new Flow());
        flow.weight = request.weight();
        request.startTag = Math.max(virtualTime, flow.lastFinish);
        request.finishTag = request.startTag + request.work() / flow.weight;
        flow.lastFinish = request.finishTag;
        if (flow.requests.isEmpty()) {
            activeFlows.add(flow);
            flow.work = 0;
            flow.prefillWork = 0;
        }
        flow.requests.addLast(request);
        flow.work += request.work();
        flow.prefillWork += request.prefillWork();
        size++;
    }

    /** Returns the next request without removing it, or null if the queue is empty. */
    PendingRequest peek() {
        Flow first = first();
        return first == null ? null : first.requests.peekFirst();
    }

    /** Removes and returns the next request. The queue must not be empty. */
    PendingRequest poll() {
        Flow flow = first();
        PendingRequest request = flow.requests.pollFirst();
        virtualTime = Math.max(virtualTime, request.startTag);
        removeFromTotals(flow, request);
        return request;
    }

    private Flow first() {
        Flow best = null;
        for (Flow flow : activeFlows) {
            if (best == null || isServedBefore(flow.requests.peekFirst(), best.requests.peekFirst())) {
                best = flow;
            }
        }
        return best;
    }

    private boolean isServedBefore(PendingRequest one, PendingRequest other) {
        boolean bothInWindow = one.startTag <= virtualTime + PRIORITY_WINDOW_SECONDS
                && other.startTag <= virtualTime + PRIORITY_WINDOW_SECONDS;
        if (bothInWindow && one.priority() != other.priority()) {
            return one.priority() > other.priority();
        }
        return one.finishTag < other.finishTag;
    }

    /** Removes and returns the unwanted requests at the head of each account's queue. */
    List<PendingRequest> removeHeads(Predicate<PendingRequest> unwanted) {
        List<PendingRequest> removed = new ArrayList<>();
        for (Flow flow : List.copyOf(activeFlows)) {
            while (!flow.requests.isEmpty() && unwanted.test(flow.requests.peekFirst())) {
                PendingRequest request = flow.requests.pollFirst();
                flow.lastFinish -= request.work() / flow.weight;
                removed.add(request);
                removeFromTotals(flow, request);
            }
        }
        return removed;
    }

    private void removeFromTotals(Flow flow, PendingRequest request) {
        flow.work -= request.work();
        flow.prefillWork -= request.prefillWork();
        size--;
        if (flow.requests.isEmpty()) {
            activeFlows.remove(flow);
            if (flow.lastFinish <= virtualTime) {
                flows.remove(request.account());
            }
        }
    }
}
