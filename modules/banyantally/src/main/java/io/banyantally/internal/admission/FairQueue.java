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
 * Weighted fair queueing over client accounts, in fleet seconds of estimated work. An account of higher priority goes
 * first within a bounded amount of work, so it gets answers sooner but never more than its share. Used by one thread at a
 * time.
 */
final class FairQueue {
    /** Virtual time, in fleet seconds, within which priority decides and not the order of finish tags. */
    private static final double PRIORITY_WINDOW = 0.1;

    private final Map<ClientAccountId, Flow> flows = new HashMap<>();
    private final List<Flow> active = new ArrayList<>();
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

    /** Work and requests that would be served before a new one. */
    record Ahead(double prefillWork, double requests) {}

    int size() {
        return size;
    }

    /** Estimates what goes before a new request of an account if it joined now. */
    Ahead ahead(PendingRequest request) {
        Flow own = flows.get(request.account());
        double start = own == null ? virtualTime : Math.max(virtualTime, own.lastFinish);
        double finish = start + request.work() / request.weight();
        double prefillWork = 0;
        double requests = 0;
        for (Flow flow : active) {
            double reached = Math.max(0, (finish - virtualTime) * flow.weight);
            double part = flow == own ? 1 : Math.min(1, reached / Math.max(1e-12, flow.work));
            prefillWork += part * flow.prefillWork;
            requests += part * flow.requests.size();
        }
        return new Ahead(prefillWork, requests);
    }

    void add(PendingRequest request) {
        Flow flow = flows.computeIfAbsent(request.account(), account -> new Flow());
        flow.weight = request.weight();
        request.startTag = Math.max(virtualTime, flow.lastFinish);
        request.finishTag = request.startTag + request.work() / flow.weight;
        flow.lastFinish = request.finishTag;
        if (flow.requests.isEmpty()) {
            active.add(flow);
            flow.work = 0;
            flow.prefillWork = 0;
        }
        flow.requests.addLast(request);
        flow.work += request.work();
        flow.prefillWork += request.prefillWork();
        size++;
    }

    /** Returns the request whose turn it is, or null; it stays in the queue. */
    PendingRequest peek() {
        Flow first = first();
        return first == null ? null : first.requests.peekFirst();
    }

    /** Takes out the request whose turn it is. */
    PendingRequest poll() {
        Flow flow = first();
        PendingRequest request = flow.requests.pollFirst();
        virtualTime = Math.max(virtualTime, request.startTag);
        forget(flow, request);
        return request;
    }

    private Flow first() {
        Flow best = null;
        for (Flow flow : active) {
            if (best == null || goesBefore(flow.requests.peekFirst(), best.requests.peekFirst())) {
                best = flow;
            }
        }
        return best;
    }

    private boolean goesBefore(PendingRequest one, PendingRequest other) {
        boolean bothDue =
                one.startTag <= virtualTime + PRIORITY_WINDOW && other.startTag <= virtualTime + PRIORITY_WINDOW;
        if (bothDue && one.priority() != other.priority()) {
            return one.priority() > other.priority();
        }
        return one.finishTag < other.finishTag;
    }

    /** Takes out requests at the head of each account's line that are no longer to be served. */
    List<PendingRequest> removeHeads(Predicate<PendingRequest> unwanted) {
        List<PendingRequest> removed = new ArrayList<>();
        for (Flow flow : List.copyOf(active)) {
            while (!flow.requests.isEmpty() && unwanted.test(flow.requests.peekFirst())) {
                PendingRequest request = flow.requests.pollFirst();
                flow.lastFinish -= request.work() / flow.weight;
                removed.add(request);
                forget(flow, request);
            }
        }
        return removed;
    }

    private void forget(Flow flow, PendingRequest request) {
        flow.work -= request.work();
        flow.prefillWork -= request.prefillWork();
        size--;
        if (flow.requests.isEmpty()) {
            active.remove(flow);
            if (flow.lastFinish <= virtualTime) {
                flows.remove(request.account());
            }
        }
    }
}
